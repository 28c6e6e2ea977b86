//! `gentianlaned dev`: a whole cell with simulated workers in one process, on
//! loopback addresses.

mod sample;

use clap::ArgMatches;
use gentianlane::api::Announce;
use gentianlane::id;
use gentianlane::unit::{Size, Span};
use gentianlane_client::simulated;
use miette::{IntoDiagnostic, Result};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use crate::clock::Clock;
use crate::process::log;
use crate::process::node::Node;
use crate::process::settings::{Peer, Settings};

/// The number of nodes.
const NODES: u64 = 3;

/// The number of CPU-only workers.
const CPU_ONLY_WORKERS: u32 = 4;

/// The number of workers with accelerators.
const ACCELERATED_WORKERS: u32 = 2;

/// Bytes in a gibibyte.
const BYTES_PER_GIB: u64 = 1 << 30;

pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let data_folder = matches.get_one::<PathBuf>("data").cloned();
    let folder = data_folder.clone().unwrap_or_else(temporary_folder);
    println!("data folder: {}", folder.display());
    let peers = peers()?;
    let log = log::to_nowhere();
    let mut nodes = Vec::new();
    for peer in &peers {
        nodes.push(Node::start(&settings(peer, &peers, &folder), &log)?);
        println!("{} takes calls at http://{}", peer.node, peer.http);
    }
    let entries: Vec<SocketAddr> = peers.iter().map(|peer| peer.http).collect();
    let workers = workers(&entries);
    let passed = sample::run(&entries);
    if !matches.get_flag("once") {
        println!("the cell runs until it is interrupted");
        let mut signals = Signals::new([SIGINT, SIGTERM]).into_diagnostic()?;
        signals.forever().next();
    }
    workers.into_iter().for_each(simulated::Worker::stop);
    nodes.into_iter().for_each(Node::stop);
    if data_folder.is_none() {
        std::fs::remove_dir_all(&folder).into_diagnostic()?;
    }
    Ok(match passed {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(super::EXIT_FAULT),
    })
}

fn temporary_folder() -> PathBuf {
    let name = format!("gentianlane-dev-{}", std::process::id());
    std::env::temp_dir().join(name)
}

/// A loopback address derived from the process's id. As no other process uses it,
/// none can take a free port on it before the node binds that port.
fn loopback_address() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | high, middle, low.max(1))
}

/// The nodes, on ports that were free when this was called.
fn peers() -> Result<Vec<Peer>> {
    let count = 3 * NODES as usize;
    let bind = |_| TcpListener::bind((loopback_address(), 0));
    let listeners: Vec<TcpListener> = (0..count)
        .map(bind)
        .collect::<Result<_, _>>()
        .into_diagnostic()?;
    let addresses: Vec<SocketAddr> = listeners
        .iter()
        .map(TcpListener::local_addr)
        .collect::<Result<_, _>>()
        .into_diagnostic()?;
    let peers = addresses
        .chunks_exact(3)
        .zip(1..)
        .map(|(group, number)| Peer {
            node: id::Node(number),
            voter: true,
            region: id::Region::from("region-1"),
            domain: id::Domain(format!("domain-{number}")),
            http: group[0],
            peer: group[1],
            rpc: group[2],
        });
    Ok(peers.collect())
}

fn settings(own: &Peer, peers: &[Peer], folder: &Path) -> Settings {
    let data = folder.join(own.node.to_string());
    let cell = id::Cell::from("dev");
    let mut settings = Settings::new(cell, own.node, Some(data), peers.to_vec());
    settings.stop.notice = Span::ZERO;
    settings
}

fn workers(entries: &[SocketAddr]) -> Vec<simulated::Worker> {
    let cpu_only = (1..=CPU_ONLY_WORKERS).map(|number| (number, 0));
    let last = CPU_ONLY_WORKERS + ACCELERATED_WORKERS;
    let accelerated = (CPU_ONLY_WORKERS + 1..=last).map(|number| (number, 8));
    cpu_only
        .chain(accelerated)
        .map(|(number, accelerators)| {
            let setup = simulated::Setup {
                announce: announce(number, accelerators),
                entries: entries.to_vec(),
            };
            simulated::Worker::start(setup, |_| {})
        })
        .collect()
}

fn announce(number: u32, accelerators: u32) -> Announce {
    Announce {
        worker: id::Worker(format!("worker-{number}")),
        incarnation: id::Incarnation(Clock::wall().as_millis()),
        size: Size::new(16_000, 32 * BYTES_PER_GIB, accelerators),
        region: id::Region::from("region-1"),
        domain: id::Domain(format!("domain-{}", number % 3 + 1)),
        rack: id::Rack(format!("rack-{number}")),
        address: String::new(),
    }
}
