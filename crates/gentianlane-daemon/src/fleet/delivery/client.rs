//! The HTTP client for workers and the adviser, with a pool of idle connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use gentianlane::fleet::order::{AdviceRequest, AdviceResponse};
use gentianlane_platform::OutgoingRequest;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::fleet::deadline;

/// The time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The longest response body, in bytes.
const BODY_LIMIT: usize = 8 << 20;

/// The most idle connections to one address that are kept.
const IDLE_LIMIT: usize = 4;

/// A client; clones share its connections.
#[derive(Debug, Clone, Default)]
pub(crate) struct Client {
    /// The idle connections, by address.
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>,
}

type Connection = SendRequest<Full<Bytes>>;

/// The outcome of a request.
#[derive(Debug)]
pub(crate) enum RequestOutcome {
    /// A complete response: its status and body.
    Answered(u16, Bytes),
    /// The connection was refused, so the request can't have had an effect.
    Refused,
    /// The connection failed; the request may have had an effect.
    Lost,
    /// No complete response came in time; the request may have had an effect.
    TimedOut,
}

impl Client {
    /// Sends a request and waits for the complete response, within the limit.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        outgoing: OutgoingRequest,
        limit: Duration,
    ) -> RequestOutcome {
        let exchange = self.exchange(address, outgoing);
        let outcome = deadline::timeout(limit, exchange).await;
        let outcome = outcome.unwrap_or(RequestOutcome::TimedOut);
        if matches!(outcome, RequestOutcome::Lost | RequestOutcome::TimedOut) {
            // The other connections to the address may be dead as well.
            self.lock().remove(&address);
        }
        outcome
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        outgoing: OutgoingRequest,
    ) -> RequestOutcome {
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

    /// Takes an idle connection that is still open.
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
        Ok(Err(_)) => return Err(RequestOutcome::Lost),
        Err(_) => return Err(RequestOutcome::TimedOut),
    };
    if stream.set_nodelay(true).is_err() {
        return Err(RequestOutcome::Lost);
    }
    let Ok((sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return Err(RequestOutcome::Lost);
    };
    tokio::spawn(async move {
        // The request sender reports the connection's error to its user.
        let _ = connection.await;
    });
    Ok(sender)
}

fn request(
    address: SocketAddr,
    outgoing: OutgoingRequest,
) -> Option<Request<Full<Bytes>>> {
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

/// Sends an advice request to the adviser. Without an adviser, or if it doesn't
/// answer, the response has no list of eligible workers.
pub(crate) async fn request_advice(
    client: &Client,
    adviser: Option<SocketAddr>,
    request: &AdviceRequest,
) -> AdviceResponse {
    let outgoing = gentianlane_platform::adviser::encode_request(request);
    let limit = request.timeout.into();
    let outcome = match adviser {
        Some(address) => client.send(address, outgoing, limit).await,
        None => RequestOutcome::Lost,
    };
    match outcome {
        RequestOutcome::Answered(status, body) => {
            gentianlane_platform::adviser::decode_response(request, status, &body)
        }
        RequestOutcome::Refused | RequestOutcome::Lost | RequestOutcome::TimedOut => {
            gentianlane_platform::adviser::decode_response(request, 0, b"")
        }
    }
}
