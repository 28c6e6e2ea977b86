//! One request and its answer: the body is read within the memory of the connection's
//! account, and the answer is accounted for until it is written.

use std::future::{Future, poll_fn};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use gentianlane::fleet::team::Credential;
use gentianlane::unit::Span;
use gentianlane_platform::Response as Answer;
use gentianlane_platform::front::CREDENTIAL_HEADER;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Bytes, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderValue, LOCATION, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};

use crate::fleet::intake::{Connection, Event, Evicted};
use crate::fleet::server::HttpRequest;

/// The time limit for a request's body; a refusal's text repeats the number.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);

/// What is allocated at once for a body that is announced as at least as long, in bytes.
const FIRST_CAPACITY: usize = 16 << 10;

/// When a caller is to try again that was refused for want of memory or time.
const RETRY: Span = Span::from_millis(1_000);

/// Why a request isn't handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Refusal {
    /// The body is longer than the port takes.
    TooLong,
    /// The body ended early, or can't be read.
    Incomplete,
    /// The body didn't arrive in time, or waited too long for memory.
    Late,
    /// The process's memory for requests was used up.
    Crowded,
}

impl From<Evicted> for Refusal {
    fn from(Evicted: Evicted) -> Self {
        Self::Crowded
    }
}

impl Refusal {
    fn answer(self, body_limit: usize) -> Answer {
        match self {
            Self::TooLong => Answer::too_long(body_limit),
            Self::Incomplete => {
                Answer::malformed(&gentianlane_platform::Fault::InvalidValue {
                    field: "the body",
                    reason: "incomplete".to_owned(),
                })
            }
            Self::Late => Answer::unavailable(
                "the body wasn't received within 3 s; the request wasn't carried out",
                RETRY,
            ),
            Self::Crowded => Answer::unavailable(
                "too many requests are arriving; this one wasn't carried out",
                RETRY,
            ),
        }
    }
}

/// What the requests to one port have in common.
#[derive(Debug)]
pub(crate) struct Port {
    /// The longest body, in bytes.
    body_limit: usize,
    /// Whether an answer may repeat a body.
    repeats_bodies: bool,
    /// The longest answer so far, in bytes, or body that an answer may repeat.
    longest: AtomicUsize,
}

impl Port {
    /// A port whose answers repeat no body. `body_limit` is in bytes.
    pub(crate) const fn new(body_limit: usize) -> Self {
        Self {
            body_limit,
            repeats_bodies: false,
            longest: AtomicUsize::new(0),
        }
    }

    /// The same for a port whose answers may repeat a body, as a plan is read back.
    pub(crate) const fn repeating_bodies(self) -> Self {
        Self {
            repeats_bodies: true,
            ..self
        }
    }

    fn lengthen(&self, length: usize) {
        self.longest.fetch_max(length, Ordering::Relaxed);
    }
}

/// Reads a request's body, calls the handler and gives its answer.
pub(super) async fn serve<H, F>(
    request: Request<Incoming>,
    handler: H,
    port: &Port,
    connection: Arc<Connection>,
    closes: impl Fn() -> bool,
) -> Response<Full<Bytes>>
where
    H: Fn(HttpRequest) -> F,
    F: Future<Output = Answer>,
{
    connection.receive_head();
    let (head, body) = request.into_parts();
    let mut request = without_body(&head);
    // The read buffer can't be used again before.
    drop(head);
    match prepare(&mut request, body, port, &connection).await {
        Ok(room) => {
            let answer = handler(request).await;
            port.lengthen(answer.body.len());
            let response = to_response(answer, closes(), connection);
            drop(room);
            response
        }
        Err(refusal) => {
            if refusal == Refusal::TooLong {
                connection.tally(Event::TooLong);
            }
            to_response(refusal.answer(port.body_limit), true, connection)
        }
    }
}

/// Reads a request's body and takes the memory of the answer. From then on the request
/// isn't refused any more.
async fn prepare(
    request: &mut HttpRequest,
    body: Incoming,
    port: &Port,
    connection: &Arc<Connection>,
) -> Result<Room, Refusal> {
    request.body = read_body(body, port.body_limit, connection).await?;
    if port.repeats_bodies {
        port.lengthen(request.body.len());
    }
    let mut room = Room::new(Arc::clone(connection));
    if request.method == Method::GET.as_str() {
        // A request that takes half of the bound has to be served as well.
        let longest = port.longest.load(Ordering::Relaxed);
        let waiting = room.grow(longest.min(connection.limit() / 2));
        let evicted = poll_fn(|context| connection.poll_evicted(context));
        tokio::select! {
            grown = waiting => grown?,
            _ = evicted => return Err(Refusal::Crowded),
        }
    }
    connection.begin()?;
    Ok(room)
}

/// The parts of a request that its head gives.
fn without_body(head: &Parts) -> HttpRequest {
    let header = |name: &str| head.headers.get(name)?.to_str().ok();
    let deadline = header("Deadline-Ms").and_then(|text| text.parse().ok());
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    HttpRequest {
        method: head.method.to_string(),
        host: header(HOST.as_str()).unwrap_or_default().to_owned(),
        path: path.to_owned(),
        deadline: deadline.map(Duration::from_millis),
        credential: header(CREDENTIAL_HEADER).map(Credential::from),
        body: Bytes::new(),
    }
}

/// Reads a whole body.
async fn read_body(
    body: Incoming,
    limit: usize,
    connection: &Arc<Connection>,
) -> Result<Bytes, Refusal> {
    let announced = body.size_hint().exact();
    let longest = announced.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if longest.is_some_and(|length| length > limit) {
        return Err(Refusal::TooLong);
    }
    let longest = longest.unwrap_or(limit);
    let evicted = poll_fn(|context| connection.poll_evicted(context));
    tokio::select! {
        read = tokio::time::timeout(BODY_TIMEOUT, collect(body, longest, connection)) => {
            read.unwrap_or(Err(Refusal::Late))
        }
        _ = evicted => Err(Refusal::Crowded),
    }
}

/// Copies what arrives, as a piece keeps the whole buffer that it was read into.
async fn collect(
    mut body: Incoming,
    longest: usize,
    connection: &Arc<Connection>,
) -> Result<Bytes, Refusal> {
    let mut collected = Held::new(Arc::clone(connection));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::Incomplete)?;
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        let length = collected.bytes.len() + piece.len();
        if length > longest {
            return Err(Refusal::TooLong);
        }
        if length > collected.bytes.capacity() {
            let doubled = collected.bytes.capacity().saturating_mul(2);
            let capacity = doubled.max(FIRST_CAPACITY).min(longest).max(length);
            collected.grow(capacity).await?;
        }
        collected.bytes.extend_from_slice(&piece);
    }
    Ok(match collected.bytes.is_empty() {
        true => Bytes::new(),
        false => Bytes::from_owner(collected),
    })
}

/// Memory that a connection's account holds until it is dropped.
#[derive(Debug)]
struct Room {
    taken: usize,
    connection: Arc<Connection>,
}

impl Room {
    const fn new(connection: Arc<Connection>) -> Self {
        Self {
            taken: 0,
            connection,
        }
    }

    /// Takes as much as is missing up to a size.
    async fn grow(&mut self, size: usize) -> Result<(), Evicted> {
        let more = size.saturating_sub(self.taken);
        poll_fn(|context| self.connection.poll_take(context, more)).await?;
        self.taken += more;
        Ok(())
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.connection.give(self.taken);
    }
}

/// A body, with the memory of its capacity.
#[derive(Debug)]
struct Held {
    // Dropped in this order.
    bytes: Vec<u8>,
    room: Room,
}

impl Held {
    const fn new(connection: Arc<Connection>) -> Self {
        Self {
            bytes: Vec::new(),
            room: Room::new(connection),
        }
    }

    async fn grow(&mut self, capacity: usize) -> Result<(), Evicted> {
        self.room.grow(capacity).await?;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// An answer's body, which a connection's account holds until it is written.
#[derive(Debug)]
struct Departing {
    bytes: Vec<u8>,
    connection: Arc<Connection>,
}

impl Departing {
    fn new(bytes: Vec<u8>, connection: Arc<Connection>) -> Self {
        connection.answer(bytes.capacity());
        Self { bytes, connection }
    }
}

impl AsRef<[u8]> for Departing {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Departing {
    fn drop(&mut self) {
        let held = std::mem::take(&mut self.bytes).capacity();
        self.connection.depart(held);
    }
}

fn to_response(
    answer: Answer,
    closes: bool,
    connection: Arc<Connection>,
) -> Response<Full<Bytes>> {
    let body = Bytes::from_owner(Departing::new(answer.body, connection));
    let mut response = Response::new(Full::new(body));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(seconds) = answer.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    if let Some(location) = answer.location
        && let Ok(location) = HeaderValue::from_str(&location)
    {
        headers.insert(LOCATION, location);
    }
    if closes {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
