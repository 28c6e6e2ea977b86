//! What the control thread lets the others see.

use std::sync::{Arc, PoisonError, RwLock};

use gentianlane::id;

/// What every thread may know of the node's part.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct View {
    /// Who leads, as far as this node knows.
    pub(crate) leader: Option<id::Node>,
    /// Whether the node is going away.
    pub(crate) stopping: bool,
}

/// The view, shared by all threads.
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
