//! The HTTP server for callers, workers and operators.
//!
//! The daemon accepts and reads connections on threads of its own, as the limits
//! on slow senders, half-open connections and single addresses have to apply
//! before a request exists. `httparse` parses request heads; `rouille` provides
//! the types of requests and responses.

mod connection;
mod head;
mod limiter;
mod reject;
mod route;

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use miette::{Result, miette};
use slog::{Logger, info, warn};

use crate::connection::http::connection::Connection;
use crate::connection::http::limiter::{ConnectionPermit, Limiter};
use crate::connection::http::reject::Rejecter;
pub(crate) use crate::connection::http::route::Service;
use crate::process::settings::{Limits, Stop};

/// The stack size of a connection's thread, in bytes.
const STACK_SIZE: usize = 512 << 10;

/// The longest time to connect to the own listener in order to wake it, and the
/// pause after a failed accept.
const WAKE_TIMEOUT: Duration = Duration::from_millis(500);

/// A running server: its listener and its open connections.
pub(crate) struct Server {
    address: SocketAddr,
    limiter: Arc<Limiter>,
    thread: JoinHandle<()>,
    log: Logger,
}

impl Server {
    /// Binds the address and starts to accept connections.
    pub(crate) fn start(
        address: SocketAddr,
        limits: Limits,
        service: Service,
        log: &Logger,
    ) -> Result<Self> {
        let listener = TcpListener::bind(address).map_err(|error| {
            miette!("can't listen on the callers' address {address}: {error}")
        })?;
        let limiter = Arc::new(Limiter::new(limits));
        let acceptor = Acceptor {
            listener,
            limiter: Arc::clone(&limiter),
            rejecter: Rejecter::start(),
            service,
            log: log.clone(),
        };
        let thread = thread::spawn(move || acceptor.run());
        Ok(Self {
            address,
            limiter,
            thread,
            log: log.clone(),
        })
    }

    /// Shuts the server down.
    ///
    /// It serves normally for `stop.notice`, accepts the connections that have
    /// arrived by then, and waits up to `stop.limit` for open ones to finish.
    pub(crate) fn stop(self, stop: Stop) {
        thread::sleep(Duration::from(stop.notice));
        self.limiter.close();
        let _ = TcpStream::connect_timeout(&self.address, WAKE_TIMEOUT);
        let _ = self.thread.join();
        let deadline = Instant::now() + Duration::from(stop.limit);
        let cut = self.limiter.wait_until_idle(deadline);
        match cut {
            0 => info!(self.log, "drained"),
            _ => warn!(self.log, "drained"; "cut" => cut),
        }
    }
}

/// The state of the accepting thread.
struct Acceptor {
    listener: TcpListener,
    limiter: Arc<Limiter>,
    rejecter: Rejecter,
    service: Service,
    log: Logger,
}

impl Acceptor {
    fn run(self) {
        while !self.limiter.is_closing() {
            match self.listener.accept() {
                Ok((stream, from)) => self.admit(stream, from),
                Err(error) => self.pause_after_error(&error),
            }
        }
        if self.listener.set_nonblocking(true).is_err() {
            return;
        }
        while let Ok((stream, from)) = self.listener.accept() {
            if stream.set_nonblocking(false).is_ok() {
                self.admit(stream, from);
            }
        }
    }

    /// Pauses after a failed accept, as a shortage of file descriptors or the like
    /// takes time to pass.
    fn pause_after_error(&self, error: &io::Error) {
        warn!(self.log, "accept"; "fault" => %error);
        thread::sleep(WAKE_TIMEOUT);
    }

    fn admit(&self, stream: TcpStream, from: SocketAddr) {
        match Limiter::acquire(&self.limiter, from.ip()) {
            Some(permit) => self.spawn(stream, from, permit),
            None => self.rejecter.reject(stream),
        }
    }

    fn spawn(&self, stream: TcpStream, from: SocketAddr, permit: ConnectionPermit) {
        let service = self.service.clone();
        let thread = thread::Builder::new().stack_size(STACK_SIZE);
        let spawned = thread.spawn(move || {
            if let Ok(mut connection) = Connection::new(stream, from, &permit) {
                connection.run(&service);
            }
        });
        if let Err(error) = spawned {
            warn!(self.log, "accept"; "fault" => %error);
        }
    }
}
