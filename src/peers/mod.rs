//! Communication between controllers: messages, their frame format, connections, relay routes around
//! broken links, and forwarded requests.

mod frame;
mod link;
mod messages;
mod pending_forwards;
mod relay_routes;

#[cfg(test)]
pub(crate) use frame::encode as encode_frame;
pub(crate) use link::{Links, listen};
pub(crate) use messages::{
    Allotment, AttemptOutcome, EndedAttempt, FreedAttempt, MachineHealth, Message,
};
pub(crate) use pending_forwards::PendingForwards;
pub(crate) use relay_routes::RelayRoutes;

/// Encodes a message to a frame and decodes it as the receiver would. The simulation passes each
/// message through its frame, because a frame that the receiver cannot decode closes the link.
#[cfg(test)]
pub(crate) fn frame_round_trip(message: &Message) -> Message {
    let frame = frame::encode(message).expect("frame");
    let decoded = frame::decode(&frame)
        .expect("own frame")
        .expect("whole frame");
    assert_eq!(decoded.length, frame.len());
    decoded.message
}
