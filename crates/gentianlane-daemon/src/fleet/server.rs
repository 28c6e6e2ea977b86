//! The HTTP server of cores and entries, for callers, workers, operators, the
//! load balancer and metrics.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use gentianlane::fleet::team::Credential;
use gentianlane_platform::Response as ApiResponse;
use gentianlane_platform::front::CREDENTIAL_HEADER;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderValue, LOCATION, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{Logger, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::fleet::Settings;
use crate::fleet::memory;
use crate::fleet::metrics::Metrics;

/// The time limit for a request's head, which includes the idle time before it.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// The time limit for a request's body; a refusal's text repeats the number.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);

/// The longest request body, in bytes. Workers' reports and operators' plans
/// are the longest in use. A refusal's text repeats the number.
const BODY_LIMIT: usize = 4 << 20;

/// The parts of a request that a handler gets.
#[derive(Debug)]
pub(crate) struct HttpRequest {
    pub(crate) method: String,
    pub(crate) host: String,
    /// The path with its query.
    pub(crate) path: String,
    /// How long the caller waits, from its `Deadline-Ms` header.
    pub(crate) deadline: Option<Duration>,
    /// The caller's key, if the request has one.
    pub(crate) credential: Option<Credential>,
    pub(crate) body: Bytes,
}

/// A server; clones share its state. It is shut down by `stop`, then `close`.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    /// Whether responses ask to close their connection.
    stopping: Arc<AtomicBool>,
    open_connections: Arc<AtomicUsize>,
    /// The most connections that are served at a time; further ones are closed.
    connection_limit: usize,
    /// Whether no more connections are accepted and idle ones are closed.
    closing: watch::Sender<bool>,
}

impl Server {
    /// A server for at most `connection_limit` connections at a time.
    pub(crate) fn new(connection_limit: usize) -> Self {
        Self {
            stopping: Arc::default(),
            open_connections: Arc::default(),
            connection_limit,
            closing: watch::Sender::new(false),
        }
    }

    /// Makes every response close its connection from now on.
    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Stops accepting connections, and closes those without a request.
    pub(crate) fn close(&self) {
        self.closing.send_replace(true);
    }

    /// The number of open connections.
    pub(crate) fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Binds an address and serves connections to it in a task of its own.
    ///
    /// # Errors
    ///
    /// The error of binding the address.
    pub(crate) async fn listen<H, F>(
        &self,
        address: SocketAddr,
        handler: H,
    ) -> std::io::Result<()>
    where
        H: Fn(HttpRequest) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = ApiResponse> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let server = self.clone();
        tokio::spawn(async move { server.accept(&listener, handler).await });
        Ok(())
    }

    async fn accept<H, F>(&self, listener: &TcpListener, handler: H)
    where
        H: Fn(HttpRequest) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = ApiResponse> + Send + 'static,
    {
        let mut closing = self.closing.subscribe();
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(_) => {
                        // Most likely out of file descriptors; some will be free
                        // again soon.
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                        continue;
                    }
                },
                _ = closing.changed() => return,
            };
            if self.open_connections() >= self.connection_limit {
                continue;
            }
            let server = self.clone();
            let handler = handler.clone();
            tokio::spawn(async move { server.serve(stream, handler).await });
        }
    }

    async fn serve<H, F>(self, stream: TcpStream, handler: H)
    where
        H: Fn(HttpRequest) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = ApiResponse> + Send + 'static,
    {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        let stopping = Arc::clone(&self.stopping);
        let service = service_fn(move |request| {
            let handler = handler.clone();
            let stopping = Arc::clone(&stopping);
            async move {
                let answer = handle_request(request, handler).await;
                let closes_connection = stopping.load(Ordering::Relaxed);
                Ok::<_, Infallible>(to_http_response(answer, closes_connection))
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let mut closing = self.closing.subscribe();
        tokio::select! {
            _ = connection.as_mut() => {}
            () = closed(&mut closing) => {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
            }
        }
        self.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Waits until the server stops accepting connections.
async fn closed(closing: &mut watch::Receiver<bool>) {
    // An error means that the server has been dropped, so it is closed as well.
    let _ = closing.wait_for(|closing| *closing).await;
}

/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Reads a request's body and calls the handler.
async fn handle_request<H, F>(request: Request<Incoming>, handler: H) -> ApiResponse
where
    H: Fn(HttpRequest) -> F,
    F: Future<Output = ApiResponse>,
{
    let (head, body) = request.into_parts();
    let header = |name: &str| head.headers.get(name)?.to_str().ok();
    let deadline = header("Deadline-Ms").and_then(|text| text.parse().ok());
    let credential = header(CREDENTIAL_HEADER).map(Credential::from);
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let host = head
        .headers
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    let body = Limited::new(body, BODY_LIMIT).collect();
    let Ok(Ok(body)) = tokio::time::timeout(BODY_TIMEOUT, body).await else {
        return ApiResponse::malformed(&gentianlane_platform::Fault::InvalidValue {
            field: "the body",
            reason: "incomplete, longer than 4 MiB or not received within 3 s".to_owned(),
        });
    };
    handler(HttpRequest {
        method: head.method.to_string(),
        host: host.to_owned(),
        path: path.to_owned(),
        deadline: deadline.map(Duration::from_millis),
        credential,
        body: body.to_bytes(),
    })
    .await
}

fn to_http_response(
    answer: ApiResponse,
    closes_connection: bool,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(answer.body)));
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
    if closes_connection {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Serves the process's metrics on the port from the settings, if there is one.
/// If the port can't be bound, the process runs on without serving metrics.
pub(crate) async fn serve_metrics(
    server: &Server,
    settings: &Settings,
    metrics: &Metrics,
    log: &Logger,
) {
    let Some(port) = settings.metrics_port else {
        return;
    };
    let metrics = metrics.clone();
    metrics.set("memory_limit_bytes", settings.memory_limit());
    let address = (settings.ip, port).into();
    let served = server
        .listen(address, move |_| metrics_response(metrics.clone()))
        .await;
    if let Err(error) = served {
        warn!(log, "no_metrics"; "error" => %error);
    }
}

/// The response with a process's metrics.
async fn metrics_response(metrics: Metrics) -> ApiResponse {
    if let Some(bytes) = memory::resident_bytes() {
        metrics.set("memory_resident_bytes", bytes);
    }
    ApiResponse {
        status: 200,
        retry_after: None,
        location: None,
        body: metrics.render().into_bytes(),
    }
}
