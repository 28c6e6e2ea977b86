//! Parts with the lifetime of a request.

pub(crate) mod gateway;
pub(crate) mod local;
