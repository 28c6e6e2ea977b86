//! What lives as long as a request.

pub(crate) mod entry;
pub(crate) mod local;
