//! The HTTP server of cores and entries, for callers, workers, operators, the
//! load balancer and metrics.

mod exchange;
mod report;
mod stream;

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::Poll;
use std::time::Duration;

use gentianlane::fleet::team::Credential;
use gentianlane_platform::Response as ApiResponse;
use hyper::body::Bytes;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{Logger, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

use crate::fleet::Settings;
use crate::fleet::intake::{Connection, Event, Eviction, Group, Intake};
use crate::fleet::memory;
use crate::fleet::metrics::Metrics;
pub(crate) use crate::fleet::server::exchange::Port;
use crate::fleet::server::stream::Stream;
pub(crate) use report::report_intake;

/// The time limit for a request's head, which includes the idle time before it.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// The longest head, in bytes: what a connection's read buffer may hold.
const HEAD_LIMIT: usize = 32 << 10;

/// The longest body of a request to read something, in bytes; none is needed.
pub(crate) const READ_BODY_LIMIT: usize = 4 << 10;

/// How long a new connection waits for one that was told to end before it looks again.
const EVICTION_POLL_INTERVAL: Duration = Duration::from_millis(50);

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
    /// The most connections that are served at a time; for a further one that without
    /// progress for longest is closed.
    connection_limit: usize,
    intake: Intake,
    group: Group,
    /// Notified when a connection has ended.
    ended: Arc<Notify>,
    /// Whether no more connections are accepted and idle ones are closed.
    closing: watch::Sender<bool>,
}

impl Server {
    /// A server for at most `connection_limit` connections at a time, which it adds to
    /// the account as a group of their own.
    pub(crate) fn new(connection_limit: usize, intake: Intake, group: Group) -> Self {
        Self {
            stopping: Arc::default(),
            open_connections: Arc::default(),
            connection_limit,
            intake,
            group,
            ended: Arc::default(),
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
        port: Port,
        handler: H,
    ) -> std::io::Result<()>
    where
        H: Fn(HttpRequest) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = ApiResponse> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let server = self.clone();
        tokio::spawn(async move {
            server.accept(&listener, &Arc::new(port), handler).await;
        });
        Ok(())
    }

    async fn accept<H, F>(&self, listener: &TcpListener, port: &Arc<Port>, handler: H)
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
            if !self.make_room().await {
                self.intake.tally(Event::TurnedAway);
                continue;
            }
            self.open_connections.fetch_add(1, Ordering::Relaxed);
            let connection = Arc::new(self.intake.open(self.group));
            let server = self.clone();
            let (handler, port) = (handler.clone(), Arc::clone(port));
            tokio::spawn(async move {
                server.serve(stream, port, handler, connection).await;
                server.open_connections.fetch_sub(1, Ordering::Relaxed);
                server.ended.notify_one();
            });
        }
    }

    /// Has a connection end if there are as many as may be, and waits for it. False if
    /// all have a request with the handler.
    async fn make_room(&self) -> bool {
        while self.open_connections() >= self.connection_limit {
            if !self.intake.evict_from(self.group) {
                return false;
            }
            let ended = self.ended.notified();
            let _ = tokio::time::timeout(EVICTION_POLL_INTERVAL, ended).await;
        }
        true
    }

    async fn serve<H, F>(
        &self,
        stream: TcpStream,
        port: Arc<Port>,
        handler: H,
        connection: Arc<Connection>,
    ) where
        H: Fn(HttpRequest) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = ApiResponse> + Send + 'static,
    {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let stopping = Arc::clone(&self.stopping);
        let account = Arc::clone(&connection);
        let service = service_fn(move |request| {
            let stopping = Arc::clone(&stopping);
            let closes = move || stopping.load(Ordering::Relaxed);
            let (handler, port) = (handler.clone(), Arc::clone(&port));
            let account = Arc::clone(&account);
            async move {
                let served = exchange::serve(request, handler, &port, account, closes);
                Ok::<_, Infallible>(served.await)
            }
        });
        let stream = TokioIo::new(Stream::new(stream, Arc::clone(&connection)));
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(HEAD_LIMIT)
            .serve_connection(stream, service);
        tokio::pin!(served);
        let mut closing = self.closing.subscribe();
        // A refused request's own task answers it, and then the connection ends.
        let evicted = poll_fn(|context| match connection.poll_evicted(context) {
            Poll::Ready(Eviction::Close) => Poll::Ready(()),
            Poll::Ready(Eviction::Refuse) | Poll::Pending => Poll::Pending,
        });
        tokio::pin!(evicted);
        tokio::select! {
            _ = served.as_mut() => return,
            () = evicted.as_mut() => return,
            () = closed(&mut closing) => served.as_mut().graceful_shutdown(),
        }
        tokio::select! {
            _ = served => {}
            () = evicted => {}
        }
    }
}

/// Waits until the server stops accepting connections.
async fn closed(closing: &mut watch::Receiver<bool>) {
    // An error means that the server has been dropped, so it is closed as well.
    let _ = closing.wait_for(|closing| *closing).await;
}

/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

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
        .listen(address, Port::new(READ_BODY_LIMIT), move |_| {
            metrics_response(metrics.clone())
        })
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
