//! The HTTP request of each call.

use gentianlane::api::Call;
use serde::Serialize;

/// The method of an HTTP request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// For calls that only read.
    Get,
    /// For calls that carry a body.
    Post,
}

/// The HTTP request that carries a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The HTTP method.
    pub method: Method,
    /// The path, with its leading slash.
    pub path: String,
    /// The body as JSON; empty for [`Method::Get`].
    pub body: String,
}

impl Route {
    /// The request that carries this call.
    ///
    /// ```
    /// use gentianlane::api::Call;
    /// use gentianlane_client::Route;
    /// assert_eq!(Route::of(&Call::Workers).path, "/v1/workers");
    /// ```
    #[must_use]
    pub fn of(call: &Call) -> Self {
        match call {
            Call::Submit(submit) => post("/v1/requests", submit),
            Call::Wait(wait) => post("/v1/requests/wait", wait),
            Call::Cancel(cancel) => post("/v1/requests/cancel", cancel),
            Call::Announce(announce) => post("/v1/workers/announce", announce),
            Call::Renew(renew) => post("/v1/workers/renew", renew),
            Call::Finish(finish) => post("/v1/workers/finish", finish),
            Call::Leave(leave) => post("/v1/workers/leave", leave),
            Call::Drain(drain) => post("/v1/workers/drain", drain),
            Call::Note(note) => post("/v1/notes", note),
            Call::NoteStatus => get("/v1/notes"),
            Call::Workers => get("/v1/workers"),
            Call::Jobs => get("/v1/jobs"),
            Call::Explain(job) => get(&format!("/v1/jobs/{}", job.0)),
            Call::Members => get("/v1/members"),
        }
    }
}

fn get(path: &str) -> Route {
    Route {
        method: Method::Get,
        path: path.to_owned(),
        body: String::new(),
    }
}

fn post(path: &str, body: &impl Serialize) -> Route {
    let body = serde_json::to_string(body).unwrap_or_default();
    Route {
        method: Method::Post,
        path: path.to_owned(),
        body,
    }
}
