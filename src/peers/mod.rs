//! The links between controllers: messages, frames and routines.

mod frame;
mod link;
mod messages;
mod relay_routes;

#[cfg(test)]
pub(crate) use frame::encode as encode_frame;
pub(crate) use link::{Links, listen};
pub(crate) use messages::{
    Allotment, AttemptOutcome, EndedAttempt, FreedAttempt, MachineHealth, Message, ShardFence,
    attempt_number,
};
pub(crate) use relay_routes::RelayRoutes;

/// What the other side of a link makes of a message: simulated days send each through its frame,
/// since a record that can't be read there once stopped all links (entry 5b6cc840).
#[cfg(test)]
pub(crate) fn over_link(message: &Message) -> Message {
    let frame = frame::encode(message).expect("frame");
    let (message, used) = frame::decode(&frame)
        .expect("own frame")
        .expect("whole frame");
    assert_eq!(used, frame.len());
    message
}
