//! The channels between the control thread and the others.

use flume::{Receiver, Sender};
use gentianlane::api::{Call, Reply};
use gentianlane::consensus::Message;
use gentianlane::id;
use gentianlane::unit::Time;

/// The capacity of the control thread's input queue.
pub(crate) const CONTROL_QUEUE_LIMIT: usize = 4_096;

/// The capacity of the send queue to one peer. Further messages are dropped;
/// the consensus protocol repeats them.
pub(crate) const PEER_QUEUE_LIMIT: usize = 256;

/// An input of the control thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// A call, and the channel for its reply.
    Call(Call, Sender<LeasedReply>),
    /// A message from another node.
    Message(id::Node, Message),
    /// A request to shut the process down in an orderly manner.
    Stop,
}

/// A reply that is valid only while the node's leader lease lasts.
#[derive(Debug, Clone)]
pub(crate) struct LeasedReply {
    pub(crate) reply: Reply,
    /// The end of the leader lease, on the process's clock; from then on the
    /// reply must not be sent. `None` if the reply doesn't depend on the lease.
    pub(crate) until: Option<Time>,
}

/// The sending end of the control thread's input queue.
pub(crate) type ControlSender = Sender<Input>;

/// The receiving end of the control thread's input queue.
pub(crate) type ControlReceiver = Receiver<Input>;
