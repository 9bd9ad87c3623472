//! The links between controllers: their messages, the frames that carry them, the connections,
//! and the routes around links that are cut.

mod frame;
mod link;
mod messages;
mod relay_routes;

#[cfg(test)]
pub(crate) use frame::encode as encode_frame;
pub(crate) use link::{Links, listen};
pub(crate) use messages::{
    Allotment, AttemptOutcome, EndedAttempt, FreedAttempt, MachineHealth, Message,
};
pub(crate) use relay_routes::RelayRoutes;

/// A message as the other side of a link reads it. Simulated days send each message through its
/// frame, since one that can't be read there closes the link.
#[cfg(test)]
pub(crate) fn frame_round_trip(message: &Message) -> Message {
    let frame = frame::encode(message).expect("frame");
    let decoded = frame::decode(&frame)
        .expect("own frame")
        .expect("whole frame");
    assert_eq!(decoded.length, frame.len());
    decoded.message
}
