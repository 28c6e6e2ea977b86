//! What lives as long as a request.

pub(crate) mod gateway;
pub(crate) mod local;
