//! The channels between the control thread and the others.

use flume::{Receiver, Sender};
use gentianlane::api::{Call, Reply};
use gentianlane::consensus::Message;
use gentianlane::id;
use gentianlane::unit::Time;

/// How many inputs may wait for the control thread.
pub(crate) const CONTROL_LIMIT: usize = 4_096;

/// How many messages may wait for one peer; more are dropped, as the protocol
/// sends again.
pub(crate) const PEER_LIMIT: usize = 256;

/// What the control thread takes in.
#[derive(Debug)]
pub(crate) enum Input {
    /// A call, and where its reply goes.
    Call(Call, Sender<Sealed>),
    /// A message from another node.
    Message(id::Node, Message),
    /// The process shall end in an orderly manner.
    Stop,
}

/// A reply that may leave only until a time.
#[derive(Debug, Clone)]
pub(crate) struct Sealed {
    pub(crate) reply: Reply,
    /// After this the node may no longer lead.
    pub(crate) until: Option<Time>,
}

/// The way to the control thread.
pub(crate) type Control = Sender<Input>;

/// The control thread's end.
pub(crate) type Inputs = Receiver<Input>;
