//! The node's state as the control thread publishes it to other threads.

use std::sync::{Arc, PoisonError, RwLock};

use gentianlane::id;

/// A snapshot of the published state.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct View {
    /// The current leader, if this node knows one.
    pub(crate) leader: Option<id::Node>,
    /// Whether the node is shutting down.
    pub(crate) stopping: bool,
}

/// A handle to the view; clones share it.
#[derive(Debug, Default, Clone)]
pub(crate) struct Shared(Arc<RwLock<View>>);

impl Shared {
    pub(crate) fn get(&self) -> View {
        *self.0.read().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_leader(&self, leader: Option<id::Node>) {
        self.0
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .leader = leader;
    }

    pub(crate) fn set_stopping(&self) {
        self.0
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .stopping = true;
    }
}
