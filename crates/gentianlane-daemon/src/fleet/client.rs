//! Requests to workers and to the adviser over kept connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use gentianlane::fleet::order::{AdviceRequest, AdviceResponse};
use gentianlane_platform::Outgoing;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a connection may take to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The longest body that an answer may have, in bytes.
const BODY_LIMIT: usize = 8 << 20;

/// How many idle connections to one address are kept.
const IDLE_LIMIT: usize = 4;

/// Connections that wait for their next request, by address.
#[derive(Debug, Clone, Default)]
pub(crate) struct Client {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>,
}

type Connection = SendRequest<Full<Bytes>>;

/// What came of a request.
#[derive(Debug)]
pub(crate) enum RequestOutcome {
    /// A whole answer: its status and body.
    Answered(u16, Bytes),
    /// Nothing listens at the address, so nothing was done.
    Refused,
    /// No whole answer came.
    Lost,
}

impl Client {
    /// Sends a request and waits for the whole answer.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        outgoing: Outgoing,
        limit: Duration,
    ) -> RequestOutcome {
        let outcome = timeout(limit, self.exchange(address, outgoing)).await;
        let outcome = outcome.unwrap_or(RequestOutcome::Lost);
        if matches!(outcome, RequestOutcome::Lost) {
            // The idle ones may have gone silent as well.
            self.lock().remove(&address);
        }
        outcome
    }

    async fn exchange(&self, address: SocketAddr, outgoing: Outgoing) -> RequestOutcome {
        let Some(request) = request(address, outgoing) else {
            return RequestOutcome::Lost;
        };
        let mut connection = match self.take_idle(address) {
            Some(connection) => connection,
            None => match connect(address).await {
                Ok(connection) => connection,
                Err(outcome) => return outcome,
            },
        };
        let Ok(response) = connection.send_request(request).await else {
            return RequestOutcome::Lost;
        };
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), BODY_LIMIT);
        let Ok(body) = body.collect().await else {
            return RequestOutcome::Lost;
        };
        self.return_idle(address, connection);
        RequestOutcome::Answered(status, body.to_bytes())
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        loop {
            let connection = connections.pop()?;
            if connection.is_ready() {
                return Some(connection);
            }
        }
    }

    fn return_idle(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < IDLE_LIMIT {
            connections.push(connection);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, RequestOutcome> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            return Err(RequestOutcome::Refused);
        }
        Ok(Err(_)) | Err(_) => return Err(RequestOutcome::Lost),
    };
    if stream.set_nodelay(true).is_err() {
        return Err(RequestOutcome::Lost);
    }
    let Ok((sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return Err(RequestOutcome::Lost);
    };
    tokio::spawn(async move {
        // Whoever waits for an answer is told by the sender's side.
        let _ = connection.await;
    });
    Ok(sender)
}

fn request(address: SocketAddr, outgoing: Outgoing) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(outgoing.path)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json");
    if let Some(target) = outgoing.target {
        request = request.header("Target-Instance", target);
    }
    request.body(Full::new(Bytes::from(outgoing.body))).ok()
}

/// Puts a question to the adviser.
pub(crate) async fn request_advice(
    client: &Client,
    adviser: Option<SocketAddr>,
    request: &AdviceRequest,
) -> AdviceResponse {
    let outgoing = gentianlane_platform::adviser::request(request);
    let limit = request.timeout.into();
    let outcome = match adviser {
        Some(address) => client.send(address, outgoing, limit).await,
        None => RequestOutcome::Lost,
    };
    match outcome {
        RequestOutcome::Answered(status, body) => {
            gentianlane_platform::adviser::opinion(request, status, &body)
        }
        RequestOutcome::Refused | RequestOutcome::Lost => {
            gentianlane_platform::adviser::opinion(request, 0, b"")
        }
    }
}
