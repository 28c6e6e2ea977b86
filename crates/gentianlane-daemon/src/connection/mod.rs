//! Parts with the lifetime of a connection or of its listener.

pub(crate) mod http;
pub(crate) mod peer;
pub(crate) mod rpc;
