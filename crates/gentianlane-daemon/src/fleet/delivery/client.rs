//! The HTTP client for workers and the adviser. Its connections keep within a
//! budget, and what couldn't be sent is told from what may have arrived.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use gentianlane::fleet::delivery::connection::{
    Claim, Class, Grant, Limits, Pool, Waiter,
};
use gentianlane::fleet::order::{AdviceRequest, AdviceResponse};
use gentianlane::fleet::worker::Incarnation;
use gentianlane::unit::Wall;
use gentianlane_platform::OutgoingRequest;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use crate::fleet::deadline;

/// The time limit for getting a connection: for waiting until the budget has room,
/// and for opening it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The longest response body, in bytes.
const BODY_LIMIT: usize = 8 << 20;

/// A client; clones share its connections.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    connections: Arc<Mutex<Connections>>,
}

#[derive(Debug)]
struct Connections {
    pool: Pool<SocketAddr, Connection>,
    /// The requests that wait for a connection.
    waiting: HashMap<Waiter, oneshot::Sender<Lease>>,
}

/// An open connection.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// The process at the other end, once it has told: it stays the same for as long as
    /// the connection lasts.
    process: Option<Incarnation>,
}

/// Which process a request is meant for, and how that process is told from others at its
/// address.
#[derive(Debug)]
pub(crate) struct Identification<'a> {
    /// The process that the request is meant for.
    pub(crate) addressee: &'a Incarnation,
    /// Asks a process which one it is, if no other one may get the request.
    pub(crate) question: Option<OutgoingRequest>,
    /// When the process started that has given a response, if the response tells.
    pub(crate) started_at: fn(u16, &[u8]) -> Option<Wall>,
}

/// The outcome of a request.
#[derive(Debug)]
pub(crate) enum RequestOutcome {
    /// A complete response: its status and body.
    Answered(u16, Bytes),
    /// No byte was sent, for a reason on this side.
    Unsent(Hindrance),
    /// No connection could be opened, so no byte was sent.
    Unreachable,
    /// The connection was refused, as nothing listens at the address.
    Refused,
    /// The connection failed; the request may have had an effect.
    Lost,
    /// No complete response came in time; the request may have had an effect.
    TimedOut,
    /// The request wasn't sent, as the process at the other end gave this response to the
    /// question which one it is.
    Withheld(u16, Bytes),
    /// The request wasn't sent, as that question got no complete response in time.
    Unidentified,
}

/// Why a process didn't send a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Hindrance {
    /// The permission to send it had ended.
    Expired,
    /// The budget of connections was used up for too long.
    NoConnection,
    /// The process had no descriptor left.
    NoDescriptor,
    /// The request can't be encoded.
    Malformed,
}

impl Client {
    /// A client without connections.
    pub(crate) fn new(limits: Limits) -> Self {
        let connections = Connections {
            pool: Pool::new(limits),
            waiting: HashMap::new(),
        };
        Self {
            connections: Arc::new(Mutex::new(connections)),
        }
    }

    /// The connections that are open or being opened.
    pub(crate) fn open_connections(&self) -> usize {
        self.lock().pool.open()
    }

    /// Sends a request, if `is_permitted` says so once it has a connection, and
    /// waits for the complete response within the limit. With an identification, the
    /// process at the other end is asked which one it is before, unless that is known,
    /// within the same limit again.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        outgoing: OutgoingRequest,
        identification: Option<Identification<'_>>,
        class: Class,
        limit: Duration,
        is_permitted: impl Fn() -> bool,
    ) -> RequestOutcome {
        let parcel = Parcel {
            address,
            content: Content::from(outgoing),
            recipient: identification.map(Recipient::from),
            class,
            limit,
        };
        if let Some(outcome) = self.try_send(&parcel, &is_permitted).await {
            return outcome;
        }
        self.close_idle(address);
        let again = self.try_send(&parcel, &is_permitted).await;
        again.unwrap_or(RequestOutcome::Unreachable)
    }

    /// As [`Client::send`]; gives no outcome if the connection turns out to be closed before
    /// any of the request was sent, or was kept open by a process that isn't the one it was
    /// meant for: another one may listen at the address by now.
    async fn try_send(
        &self,
        parcel: &Parcel<'_>,
        is_permitted: &impl Fn() -> bool,
    ) -> Option<RequestOutcome> {
        let address = parcel.address;
        let Some(request) = parcel.content.request(address) else {
            return Some(RequestOutcome::Unsent(Hindrance::Malformed));
        };
        let mut lease = match self.connection(address, parcel.class).await {
            Ok(lease) => lease,
            Err(outcome) => return Some(outcome),
        };
        if !is_permitted() {
            return Some(RequestOutcome::Unsent(Hindrance::Expired));
        }
        if let Some(recipient) = &parcel.recipient
            && !lease.leads_to(recipient)
        {
            if lease.leads_to_earlier(recipient) {
                lease.connection = None;
                return None;
            }
            if let Some(outcome) = self.identify(&mut lease, parcel, recipient).await? {
                return Some(outcome);
            }
            if !is_permitted() {
                return Some(RequestOutcome::Unsent(Hindrance::Expired));
            }
        }
        let exchange = deadline::timeout(parcel.limit, lease.exchange(request)).await;
        let outcome = exchange.unwrap_or(Some(RequestOutcome::TimedOut));
        if let (Some(recipient), Some(RequestOutcome::Answered(status, body))) =
            (&parcel.recipient, &outcome)
        {
            lease.note_process(recipient, *status, body);
        }
        let is_misdirected = matches!(&outcome, Some(RequestOutcome::Answered(status, _))
            if *status == StatusCode::MISDIRECTED_REQUEST);
        if is_misdirected && lease.is_reused {
            lease.connection = None;
            return None;
        }
        drop(lease);
        if matches!(
            outcome,
            Some(RequestOutcome::Lost | RequestOutcome::TimedOut)
        ) {
            // The other connections to the address may be dead as well.
            self.close_idle(address);
        }
        outcome
    }

    /// Asks the process at the other end of a connection which one it is. Gives what
    /// becomes of the request if it may not be sent to that process, and nothing at all if
    /// the connection turns out to be closed.
    async fn identify(
        &self,
        lease: &mut Lease,
        parcel: &Parcel<'_>,
        recipient: &Recipient<'_>,
    ) -> Option<Option<RequestOutcome>> {
        let Some(question) = &recipient.question else {
            return Some(None);
        };
        let Some(request) = question.request(parcel.address) else {
            return Some(Some(RequestOutcome::Unsent(Hindrance::Malformed)));
        };
        match deadline::timeout(parcel.limit, lease.exchange(request)).await {
            Ok(Some(RequestOutcome::Answered(status, body))) => {
                if status == StatusCode::MISDIRECTED_REQUEST && lease.is_reused {
                    lease.connection = None;
                    return None;
                }
                lease.note_process(recipient, status, &body);
                let is_other = !lease.leads_to(recipient);
                Some(is_other.then_some(RequestOutcome::Withheld(status, body)))
            }
            Ok(None) => None,
            Ok(Some(_)) | Err(_) => {
                self.close_idle(parcel.address);
                Some(Some(RequestOutcome::Unidentified))
            }
        }
    }

    /// An open connection to an address.
    async fn connection(
        &self,
        address: SocketAddr,
        class: Class,
    ) -> Result<Lease, RequestOutcome> {
        let started = Instant::now();
        let mut lease = self.claim(address, class).await?;
        let left = || CONNECT_TIMEOUT.saturating_sub(started.elapsed());
        if let Some(connection) = &mut lease.connection {
            // One that was given back just now becomes ready after its task has run;
            // one that the other side has closed meanwhile never does.
            let ready = timeout(left(), connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                lease.is_reused = true;
                return Ok(lease);
            }
        }
        lease.connection = Some(connect(address, left()).await?);
        Ok(lease)
    }

    /// Claims an idle connection or the permission to open one.
    async fn claim(
        &self,
        address: SocketAddr,
        class: Class,
    ) -> Result<Lease, RequestOutcome> {
        let no_connection = RequestOutcome::Unsent(Hindrance::NoConnection);
        let (waiter, receiver) = {
            let mut connections = self.lock();
            match connections.claim(&address, class) {
                Claim::Granted(grant) => {
                    return Ok(self.lease(address, class, grant));
                }
                Claim::Refused => return Err(no_connection),
                Claim::Waits(waiter) => {
                    let (sender, receiver) = oneshot::channel();
                    connections.waiting.insert(waiter, sender);
                    (waiter, receiver)
                }
            }
        };
        let wait = Wait {
            client: self.clone(),
            waiter,
        };
        let granted = timeout(CONNECT_TIMEOUT, receiver).await;
        drop(wait);
        match granted {
            Ok(Ok(lease)) => Ok(lease),
            Ok(Err(_)) | Err(_) => Err(no_connection),
        }
    }

    fn lease(
        &self,
        address: SocketAddr,
        class: Class,
        grant: Grant<Connection>,
    ) -> Lease {
        let connection = match grant {
            Grant::Reuse(connection) => Some(connection),
            Grant::Open => None,
        };
        Lease {
            client: self.clone(),
            address,
            class,
            connection,
            is_reused: false,
        }
    }

    /// Closes the idle connections to an address.
    fn close_idle(&self, address: SocketAddr) {
        self.change(|pool| pool.close_idle(&address));
    }

    /// Changes the pool, and lets those requests go on that can now.
    fn change(&self, change: impl FnOnce(&mut Pool<SocketAddr, Connection>)) {
        let mut connections = self.lock();
        change(&mut connections.pool);
        let mut granted = Vec::new();
        while let Some((waiter, address, class, grant)) = connections.pool.next_grant() {
            let lease = self.lease(address, class, grant);
            granted.push((connections.waiting.remove(&waiter), lease));
        }
        drop(connections);
        for (sender, lease) in granted {
            // A lease that nobody waits for any more is given back on its drop.
            let _ = sender.map(|sender| sender.send(lease));
        }
    }

    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connections {
    /// Claims a connection; idle ones that the other side has closed are left out.
    fn claim(&mut self, address: &SocketAddr, class: Class) -> Claim<Connection> {
        loop {
            match self.pool.claim(address, class) {
                Claim::Granted(Grant::Reuse(connection))
                    if connection.sender.is_closed() =>
                {
                    self.pool.give_back(address, class, None);
                }
                claim => return claim,
            }
        }
    }
}

/// A waiting request, which is cancelled on drop.
struct Wait {
    client: Client,
    waiter: Waiter,
}

impl Drop for Wait {
    fn drop(&mut self) {
        let mut connections = self.client.lock();
        connections.pool.cancel(self.waiter);
        connections.waiting.remove(&self.waiter);
    }
}

/// A share of the budget, with its connection once that is open. It is given back
/// on drop.
#[derive(Debug)]
struct Lease {
    client: Client,
    address: SocketAddr,
    class: Class,
    connection: Option<Connection>,
    /// Whether the connection has carried a request before.
    is_reused: bool,
}

impl Lease {
    /// Whether the connection is known to lead to the addressee.
    fn leads_to(&self, recipient: &Recipient<'_>) -> bool {
        let connection = self.connection.as_ref();
        let process = connection.and_then(|connection| connection.process.as_ref());
        process == Some(recipient.addressee)
    }

    /// Whether the connection leads to an earlier process of the addressee's worker, which
    /// has ended.
    fn leads_to_earlier(&self, recipient: &Recipient<'_>) -> bool {
        let connection = self.connection.as_ref();
        let process = connection.and_then(|connection| connection.process.as_ref());
        process.is_some_and(|process| {
            process.worker == recipient.addressee.worker
                && process.started_at < recipient.addressee.started_at
        })
    }

    /// Notes which process has given a response, if that isn't known and the response tells.
    fn note_process(&mut self, recipient: &Recipient<'_>, status: u16, body: &[u8]) {
        let connection = self.connection.as_mut();
        let unknown = connection.filter(|connection| connection.process.is_none());
        if let Some(connection) = unknown
            && let Some(started_at) = (recipient.started_at)(status, body)
        {
            connection.process = Some(Incarnation {
                worker: recipient.addressee.worker.clone(),
                started_at,
            });
        }
    }

    /// Sends a request and reads the response; gives no outcome if none of it was sent.
    /// The connection is kept only if both succeed.
    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Option<RequestOutcome> {
        let mut connection = self.connection.take()?;
        let response = match connection.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                return (!is_unsent).then_some(RequestOutcome::Lost);
            }
        };
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), BODY_LIMIT);
        let Ok(body) = body.collect().await else {
            return Some(RequestOutcome::Lost);
        };
        self.connection = Some(connection);
        Some(RequestOutcome::Answered(status, body.to_bytes()))
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let connection = self.connection.take();
        let connection = connection.filter(|it| !it.sender.is_closed());
        self.client
            .change(|pool| pool.give_back(&self.address, self.class, connection));
    }
}

async fn connect(
    address: SocketAddr,
    limit: Duration,
) -> Result<Connection, RequestOutcome> {
    let stream = match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if is_out_of_descriptors(&error) => {
            return Err(RequestOutcome::Unsent(Hindrance::NoDescriptor));
        }
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            return Err(RequestOutcome::Refused);
        }
        Ok(Err(_)) | Err(_) => return Err(RequestOutcome::Unreachable),
    };
    if stream.set_nodelay(true).is_err() {
        return Err(RequestOutcome::Unreachable);
    }
    let Ok((sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return Err(RequestOutcome::Unreachable);
    };
    tokio::spawn(async move {
        // The request sender reports the connection's error to its user.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        process: None,
    })
}

fn is_out_of_descriptors(error: &io::Error) -> bool {
    use nix::errno::Errno;
    let number = error.raw_os_error().map(Errno::from_raw);
    matches!(number, Some(Errno::EMFILE | Errno::ENFILE))
}

/// A request on its way to an address.
struct Parcel<'a> {
    address: SocketAddr,
    content: Content,
    recipient: Option<Recipient<'a>>,
    class: Class,
    limit: Duration,
}

/// An [`Identification`] whose question can be sent more than once.
struct Recipient<'a> {
    addressee: &'a Incarnation,
    question: Option<Content>,
    started_at: fn(u16, &[u8]) -> Option<Wall>,
}

impl<'a> From<Identification<'a>> for Recipient<'a> {
    fn from(identification: Identification<'a>) -> Self {
        Self {
            addressee: identification.addressee,
            question: identification.question.map(Content::from),
            started_at: identification.started_at,
        }
    }
}

/// What a request says, for each time that it is sent.
struct Content {
    path: &'static str,
    target: Option<String>,
    body: Bytes,
}

impl From<OutgoingRequest> for Content {
    fn from(outgoing: OutgoingRequest) -> Self {
        let OutgoingRequest { path, target, body } = outgoing;
        Self {
            path,
            target,
            body: Bytes::from(body),
        }
    }
}

impl Content {
    /// A request to an address; none if it can't be encoded.
    fn request(&self, address: SocketAddr) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(self.path)
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json");
        if let Some(target) = &self.target {
            request = request.header("Target-Instance", target);
        }
        request.body(Full::new(self.body.clone())).ok()
    }
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
        Some(address) => {
            let sent =
                client.send(address, outgoing, None, Class::Prompt, limit, || true);
            sent.await
        }
        None => RequestOutcome::Unreachable,
    };
    match outcome {
        RequestOutcome::Answered(status, body) => {
            gentianlane_platform::adviser::decode_response(request, status, &body)
        }
        RequestOutcome::Unsent(_)
        | RequestOutcome::Unreachable
        | RequestOutcome::Refused
        | RequestOutcome::Lost
        | RequestOutcome::TimedOut
        | RequestOutcome::Withheld(..)
        | RequestOutcome::Unidentified => {
            gentianlane_platform::adviser::decode_response(request, 0, b"")
        }
    }
}
