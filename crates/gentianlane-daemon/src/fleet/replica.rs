//! A core's replica of the log: its identity, its journal and its node.

use gentianlane::consensus;
use gentianlane::fleet::{self, Node};
use gentianlane::id;
use gentianlane::unit::{Span, Time};
use gentianlane_store::{Journal, Owner};
use miette::{IntoDiagnostic, Result};

use crate::clock::Clock;
use crate::fleet::Settings;
use crate::fleet::settings::Fault;
use crate::fleet::shared::CELL_NAME;

/// The consensus timing. The election timeout of 350 ms is five heartbeats:
/// longer than a pause by CPU throttling (the quota) and than the slowest sync
/// of a healthy disk.
const CONSENSUS_TIMING: consensus::Timing = consensus::Timing {
    heartbeat_interval: Span::from_millis(70),
    election_timeout: Span::from_millis(350),
    clock_drift_margin: Span::from_millis(40),
    replacement_delay: Span::from_millis(3_000),
};

/// The node's id: that of the data folder's owner if there is one, a founder's
/// on a seed's first start, otherwise a new one with the time as generation.
pub(super) fn identity(settings: &Settings) -> Result<id::Node> {
    let folder = settings
        .data
        .as_ref()
        .ok_or(Fault::Missing { field: "data" })?;
    if let Some(owner) = Journal::owner_of(folder).into_diagnostic()? {
        return Ok(owner.node);
    }
    if settings.bootstrap && settings.seed_ips().contains(&settings.ip) {
        return Ok(id::Node::at_address(settings.ip, 0));
    }
    let seconds = Clock::wall().as_millis() / 1_000;
    let generation = u32::try_from(seconds).unwrap_or(u32::MAX).max(1);
    Ok(id::Node::at_address(settings.ip, generation))
}

pub(super) fn open_journal(
    settings: &Settings,
    node: id::Node,
) -> Result<(Journal, consensus::DurableState)> {
    let folder = settings
        .data
        .as_ref()
        .ok_or(Fault::Missing { field: "data" })?;
    let owner = Owner {
        cell: id::Cell::from(CELL_NAME),
        node,
    };
    Journal::open(folder, &owner).into_diagnostic()
}

pub(super) fn build_node(
    settings: &Settings,
    node: id::Node,
    durable_state: consensus::DurableState,
    now: Time,
) -> Node {
    let founders = settings
        .seed_ips()
        .into_iter()
        .map(|ip| id::Node::at_address(ip, 0));
    let consensus_setup = consensus::Setup {
        node,
        voters: founders.collect(),
        learners: Vec::new(),
        timing: CONSENSUS_TIMING,
        seed: Clock::wall().as_millis() ^ node.0,
    };
    let setup = fleet::Setup {
        consensus: consensus_setup,
        dispatch: settings.dispatch_setup(),
    };
    let attributes = consensus::Attributes {
        disk: true,
        domain: id::Domain::from(settings.domain.as_str()),
    };
    let built = Node::new(setup, durable_state, now)
        .with_attributes(attributes)
        .with_target_voters(2 * settings.losses + 1);
    // A founder (generation 0) with an empty folder hasn't voted or acknowledged
    // anything yet, so a leader doesn't have to verify its identity.
    match node == id::Node::at_address(settings.ip, 0) {
        true => built,
        false => built.in_existing_cell(),
    }
}
