//! What a leader knows of another node.

use crate::agree::Index;
use crate::unit::Time;

/// A follower or learner, as its leader sees it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Peer {
    /// The next index to send.
    pub(crate) next: Index,
    /// The newest index known to be stored there.
    pub(crate) stored: Index,
    /// When the newest message was sent that the peer has confirmed.
    pub(crate) confirmed: Option<Time>,
}

impl Peer {
    pub(crate) fn new(next: Index) -> Self {
        Self {
            next,
            stored: Index(0),
            confirmed: None,
        }
    }

    pub(crate) fn confirm(&mut self, sent: u64) {
        let sent = Time::from_millis(sent);
        self.confirmed = self.confirmed.max(Some(sent));
    }
}
