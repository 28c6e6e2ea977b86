//! One node of a cell: starts and stops its threads and sockets.

use std::collections::HashMap;
use std::thread::{self, JoinHandle};

use gentianlane::unit::Time;
use gentianlane::{cell, consensus, place};
use miette::{IntoDiagnostic, Result, miette};
use slog::{Logger, crit, info, o};
use tokio::runtime::Runtime;

use crate::channel::{CONTROL_QUEUE_LIMIT, ControlSender as Sender, Input};
use crate::clock::Clock;
use crate::connection::{http, peer, rpc};
use crate::process::control::Control;
use crate::process::data;
use crate::process::settings::{Peer, Settings, Stop};
use crate::process::telemetry::Telemetry;
use crate::process::view;
use crate::request::gateway::Gateway;

/// The number of threads that serve calls forwarded by other nodes.
const RPC_THREADS: usize = 2;

/// A running node.
pub(crate) struct Node {
    control: Sender,
    thread: JoinHandle<()>,
    view: view::Shared,
    http: http::Server,
    peers: peer::Listener,
    runtime: Runtime,
    stop: Stop,
    log: Logger,
}

impl Node {
    /// Opens the journal and the sockets, and starts the threads.
    ///
    /// # Errors
    ///
    /// Faults of the settings, the journal, the sockets and the threads, and a
    /// snapshot that doesn't decode.
    pub(crate) fn start(settings: &Settings, log: &Logger) -> Result<Self> {
        let log = log.new(o!("node" => settings.node.to_string()));
        let clock = Clock::start();
        let (journal, saved) = data::open(settings)?;
        let own = settings.own_peer()?.clone();
        let cell_node = cell_node(settings, &own, saved, clock.now());
        if cell_node.is_corrupt() {
            return Err(miette!("the snapshot in the data folder can't be decoded"));
        }
        let telemetry = Telemetry::start(settings)?;
        let Telemetry { metrics, tracer } = telemetry.clone();
        let (control, inputs) = flume::bounded(CONTROL_QUEUE_LIMIT);
        let view = view::Shared::default();
        let incarnation = Clock::wall().as_millis().into();
        let outbox = peer::Outbox::start(settings, incarnation, metrics.clone());
        let peers = peer::Listener::start(own.peer, settings, control.clone(), &metrics)?;
        let runtime = runtime()?;
        runtime.block_on(rpc::serve(own.rpc, control.clone(), clock, tracer.clone()))?;
        let rpc_client = rpc::Client::new(settings, runtime.handle().clone(), tracer);
        let gateway = Gateway::new(
            settings.node,
            control.clone(),
            view.clone(),
            clock,
            rpc_client,
        );
        let service = http::Service { gateway, telemetry };
        let http = http::Server::start(own.http, settings.limits, service, &log)?;
        let control_loop = Control {
            node: cell_node,
            journal,
            clock,
            view: view.clone(),
            outbox,
            metrics,
            next_gauge: clock.now(),
            log: log.clone(),
            replies: HashMap::new(),
            last_ticket: 0,
            unflushed: Vec::new(),
            written: 0,
        };
        let logger = log.clone();
        let thread = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                if let Err(fault) = control_loop.run(&inputs) {
                    crit!(logger, "ends"; "fault" => %fault);
                    std::process::exit(i32::from(crate::command::EXIT_FAULT));
                }
            })
            .into_diagnostic()?;
        info!(log, "runs"; "http" => %own.http);
        Ok(Self {
            control,
            thread,
            view,
            http,
            peers,
            runtime,
            stop: settings.stop,
            log,
        })
    }

    /// Stops accepting calls, transfers leadership and ends the threads.
    pub(crate) fn stop(self) {
        info!(self.log, "stops"; "notice" => %self.stop.notice);
        self.view.set_stopping();
        self.http.stop(self.stop);
        let _ = self.control.send(Input::Stop);
        let _ = self.thread.join();
        self.peers.stop();
        self.runtime.shutdown_background();
        info!(self.log, "stopped");
    }
}

/// Creates the cell's node from what the journal holds.
///
/// A founding voter's empty data folder was created by the operator's `init`, so
/// the node may vote at once. Any other node with empty state may have lost a
/// vote, and has to verify its identity with the leader first.
fn cell_node(
    settings: &Settings,
    own: &Peer,
    saved: consensus::DurableState,
    now: Time,
) -> cell::Node {
    let attributes = consensus::Attributes {
        disk: settings.data.is_some(),
        domain: own.domain.clone(),
    };
    let node =
        cell::Node::new(cell_setup(settings), saved, now).with_attributes(attributes);
    match own.voter {
        true => node,
        false => node.in_existing_cell(),
    }
}

fn cell_setup(settings: &Settings) -> cell::Setup {
    let voters = settings.voters();
    let nodes = settings.nodes.iter().map(|peer| peer.node);
    let learners = nodes.filter(|&node| !voters.contains(node)).collect();
    let seed = Clock::wall().as_millis() ^ settings.node.0.rotate_left(32);
    let consensus = consensus::Setup {
        node: settings.node,
        voters,
        learners,
        timing: settings.timing,
        seed,
    };
    cell::Setup {
        consensus,
        lease: settings.lease,
        place: place::Setup { seed },
    }
}

fn runtime() -> Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(RPC_THREADS)
        .enable_all()
        .build()
        .into_diagnostic()
}
