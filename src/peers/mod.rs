//! The links between controllers: messages, frames and routines.

mod frame;
mod link;
mod messages;

pub use link::{Links, listen};
pub use messages::{Allotment, End, Ended, MachineHealth, Message, attempt};
