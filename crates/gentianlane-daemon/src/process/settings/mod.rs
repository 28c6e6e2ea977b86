//! A node's settings: JSON with comments.
//!
//! Reading doesn't stop at the first fault. It collects all of them with their
//! locations, so that an operator can correct a file in one go.

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

/// The settings of one node, read once at its start.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    /// The cell that the node belongs to.
    pub(crate) cell: id::Cell,
    /// The node's own number, one of those in `nodes`.
    pub(crate) node: id::Node,
    /// The data folder; a node without one stores nothing and can't vote.
    pub(crate) data: Option<PathBuf>,
    /// The nodes with which the cell is founded, including this one.
    pub(crate) nodes: Vec<Peer>,
    /// The timing of consensus; has to be the same on every node.
    pub(crate) timing: Timing,
    /// The timing of workers' leases; has to be the same on every node.
    pub(crate) lease: lease::Timing,
    /// The limits on callers' connections and requests.
    pub(crate) limits: Limits,
    /// The times for a shutdown.
    pub(crate) stop: Stop,
    /// The receivers of metrics and traces.
    pub(crate) telemetry: Telemetry,
}

/// One node of the cell.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// The node's number.
    pub(crate) node: id::Node,
    /// Whether it is a voter; the others are learners.
    pub(crate) voter: bool,
    /// The region in which it runs.
    pub(crate) region: id::Region,
    /// The failure domain in which it runs.
    pub(crate) domain: id::Domain,
    /// The address for callers, workers and operators.
    pub(crate) http: SocketAddr,
    /// The address for other nodes' consensus frames.
    pub(crate) peer: SocketAddr,
    /// The address for calls forwarded by other nodes.
    pub(crate) rpc: SocketAddr,
}

impl Settings {
    /// Settings with the defaults for all sections.
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

    /// Parses settings from the text of the file `name`.
    ///
    /// # Errors
    ///
    /// [`Fault::Text`] with all faults of the text and their locations.
    pub(crate) fn read(name: &str, text: &str) -> Result<Self, Fault> {
        read::parse_settings(name, text)
    }

    /// Warnings about valid settings that tolerate fewer failures than they could.
    pub(crate) fn warnings(&self) -> Vec<String> {
        check::warnings(self)
    }

    /// The entry of this node.
    pub(crate) fn own_peer(&self) -> Result<&Peer, Fault> {
        let me = self.nodes.iter().find(|peer| peer.node == self.node);
        me.ok_or(Fault::NotAmongNodes(self.node))
    }

    /// The entries of all other nodes.
    pub(crate) fn other_peers(&self) -> impl Iterator<Item = &Peer> {
        self.nodes.iter().filter(|peer| peer.node != self.node)
    }

    /// The numbers of the voters.
    pub(crate) fn voters(&self) -> Voters {
        let voters = self.nodes.iter().filter(|peer| peer.voter);
        voters.map(|peer| peer.node).collect()
    }
}
