//! What lives as long as a connection or its listener.

pub(crate) mod http;
pub(crate) mod peer;
pub(crate) mod rpc;
