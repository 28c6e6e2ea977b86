//! A node's settings: JSON with comments.
//!
//! Reading goes over the whole file and gathers every fault with its place,
//! so that an operator mends a file in one go.

mod check;
mod fault;
mod quantity;
mod read;
mod section;

use gentianlane::consensus::{Timing, Voters};
use gentianlane::{id, lease};
use std::net::SocketAddr;
use std::path::PathBuf;

pub(crate) use fault::Fault;
pub(crate) use section::{Limits, Stop, Telemetry};

/// What a node is told at its start.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    /// The cell it belongs to.
    pub(crate) cell: id::Cell,
    /// Which of the nodes it is.
    pub(crate) node: id::Node,
    /// The data folder; a node without one keeps nothing and can't vote.
    pub(crate) data: Option<PathBuf>,
    /// The nodes at the cell's very beginning, this one among them.
    pub(crate) nodes: Vec<Peer>,
    /// Heartbeats and elections; the same at every node.
    pub(crate) timing: Timing,
    /// Workers' leases; the same at every node.
    pub(crate) lease: lease::Timing,
    /// What one caller may take up.
    pub(crate) limits: Limits,
    /// How the process goes away.
    pub(crate) stop: Stop,
    /// Where metrics and traces go.
    pub(crate) telemetry: Telemetry,
}

/// One node of the cell.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// Its number.
    pub(crate) node: id::Node,
    /// Whether it votes.
    pub(crate) voter: bool,
    /// Its region.
    pub(crate) region: id::Region,
    /// Its failure domain.
    pub(crate) domain: id::Domain,
    /// Where callers, workers and operators reach it.
    pub(crate) http: SocketAddr,
    /// Where other nodes send frames.
    pub(crate) peer: SocketAddr,
    /// Where other nodes pass calls on.
    pub(crate) rpc: SocketAddr,
}

impl Settings {
    /// Settings with every limit and time at its default.
    pub(crate) fn new(
        cell: id::Cell,
        node: id::Node,
        data: Option<PathBuf>,
        nodes: Vec<Peer>,
    ) -> Self {
        Self {
            cell,
            node,
            data,
            nodes,
            timing: Timing::default(),
            lease: lease::Timing::default(),
            limits: Limits::default(),
            stop: Stop::default(),
            telemetry: Telemetry::default(),
        }
    }

    /// Reads settings.
    ///
    /// # Errors
    ///
    /// All faults of the text with their places.
    pub(crate) fn read(name: &str, text: &str) -> Result<Self, Fault> {
        read::parse_settings(name, text)
    }

    /// What an operator should know of settings that are in order.
    pub(crate) fn warnings(&self) -> Vec<String> {
        check::warnings(self)
    }

    /// This node among the nodes.
    pub(crate) fn own_peer(&self) -> Result<&Peer, Fault> {
        let me = self.nodes.iter().find(|peer| peer.node == self.node);
        me.ok_or(Fault::NotAmongNodes(self.node))
    }

    /// The other nodes.
    pub(crate) fn other_peers(&self) -> impl Iterator<Item = &Peer> {
        self.nodes.iter().filter(|peer| peer.node != self.node)
    }

    /// The nodes that vote.
    pub(crate) fn voters(&self) -> Voters {
        let voters = self.nodes.iter().filter(|peer| peer.voter);
        voters.map(|peer| peer.node).collect()
    }
}
