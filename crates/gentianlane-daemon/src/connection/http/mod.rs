//! HTTP towards callers, workers and operators.
//!
//! The listener and its connections are the daemon's own threads, since the
//! limits on slow senders, half-open connections and single addresses have to
//! hold before a request exists. `httparse` reads heads; `rouille` carries
//! requests and responses.

mod exchange;
mod gate;
mod head;
mod route;
mod turn_away;

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use miette::{Result, miette};
use slog::{Logger, info, warn};

use crate::connection::http::exchange::Exchange;
use crate::connection::http::gate::{Gate, Place};
pub(crate) use crate::connection::http::route::Service;
use crate::connection::http::turn_away::Refuser;
use crate::process::settings::{Limits, Stop};

/// The stack of a connection's thread, in bytes.
const STACK: usize = 512 << 10;

/// How long the listener's own wake-up call may take.
const WAKE_TIMEOUT: Duration = Duration::from_millis(500);

/// The listener and the connections that it has open.
pub(crate) struct Server {
    address: SocketAddr,
    gate: Arc<Gate>,
    thread: JoinHandle<()>,
    log: Logger,
}

impl Server {
    /// Binds the address and starts to serve.
    pub(crate) fn start(
        address: SocketAddr,
        limits: Limits,
        service: Service,
        log: &Logger,
    ) -> Result<Self> {
        let listener = TcpListener::bind(address)
            .map_err(|error| miette!("the callers' address {address}: {error}"))?;
        let gate = Arc::new(Gate::new(limits));
        let acceptor = Acceptor {
            listener,
            gate: Arc::clone(&gate),
            refuser: Refuser::start(),
            service,
            log: log.clone(),
        };
        let thread = thread::spawn(move || acceptor.run());
        Ok(Self {
            address,
            gate,
            thread,
            log: log.clone(),
        })
    }

    /// Serves on for the notice, accepts what has arrived by then, finishes
    /// what is open within the limit and ends.
    pub(crate) fn stop(self, stop: Stop) {
        thread::sleep(Duration::from(stop.notice));
        self.gate.close();
        let _ = TcpStream::connect_timeout(&self.address, WAKE_TIMEOUT);
        let _ = self.thread.join();
        let end = Instant::now() + Duration::from(stop.limit);
        let cut = self.gate.wait_until_empty(end);
        match cut {
            0 => info!(self.log, "drained"),
            _ => warn!(self.log, "drained"; "cut" => cut),
        }
    }
}

/// What the accepting thread holds.
struct Acceptor {
    listener: TcpListener,
    gate: Arc<Gate>,
    refuser: Refuser,
    service: Service,
    log: Logger,
}

impl Acceptor {
    fn run(self) {
        while !self.gate.is_closing() {
            match self.listener.accept() {
                Ok((stream, from)) => self.admit(stream, from),
                Err(error) => self.pause(&error),
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

    /// Waits out a shortage, such as of file descriptors.
    fn pause(&self, error: &io::Error) {
        warn!(self.log, "accept"; "fault" => %error);
        thread::sleep(WAKE_TIMEOUT);
    }

    fn admit(&self, stream: TcpStream, from: SocketAddr) {
        match Gate::admit(&self.gate, from.ip()) {
            Some(place) => self.spawn(stream, from, place),
            None => self.refuser.refuse(stream),
        }
    }

    fn spawn(&self, stream: TcpStream, from: SocketAddr, place: Place) {
        let service = self.service.clone();
        let thread = thread::Builder::new().stack_size(STACK);
        let spawned = thread.spawn(move || {
            if let Ok(mut exchange) = Exchange::new(stream, from, &place) {
                exchange.run(&service);
            }
        });
        if let Err(error) = spawned {
            warn!(self.log, "accept"; "fault" => %error);
        }
    }
}
