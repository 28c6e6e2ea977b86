//! The state that the tasks of a core's traffic thread share.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use flume::Sender;
use gentianlane::fleet::dispatch::Relay;
use gentianlane::fleet::link::{LeaderHint, Packet};
use gentianlane::unit::Span;
use indexmap::IndexMap;
use slog::Logger;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::fleet::control::{Input, Inputs};
use crate::fleet::delivery::{Budget, OrderLosses};
use crate::fleet::forward::{Forwarder, lock};
use crate::fleet::metrics::Metrics;

/// The cell's name in frames between cores. A frame with another name comes
/// from a node that isn't a fleet's core, and is dropped.
pub(super) const CELL_NAME: &str = "fleet";

/// The retry delay for callers while the control thread's queue is full.
pub(super) const BUSY_RETRY: Span = Span::from_millis(1_000);

/// The delay before a lost connection to another core is dialled again, and
/// after a failed accept.
pub(super) const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// The relay number of this process itself, which sends its own leader's advice
/// requests to the adviser.
pub(super) const OWN_RELAY: Relay = 0;

/// The state that the tasks of the traffic thread share.
#[derive(Clone)]
pub(super) struct Shared {
    /// The control address: where workers and operators reach this core.
    pub(super) own_address: SocketAddr,
    pub(super) clock: Clock,
    /// The control thread's input queue.
    pub(super) inputs: Inputs,
    /// Forwards calls to the leader while this node doesn't lead.
    pub(super) forwarder: Forwarder,
    /// The process's descriptors.
    pub(super) budget: Budget,
    /// The control thread's last hint, without the entries.
    pub(super) leader_hint: Arc<Mutex<LeaderHint>>,
    /// The connections from forwarders, by relay number.
    pub(super) links: Arc<Mutex<IndexMap<Relay, ForwarderLink>>>,
    /// Wakes the task that dials another core, by that core's VM.
    pub(super) dial_wakers: Arc<Mutex<IndexMap<Ipv4Addr, Arc<Notify>>>>,
    /// Whether forwarders have connected or disconnected since the last hint.
    pub(super) entries_changed: Arc<AtomicBool>,
    /// The orders that the control thread has made and this one hasn't begun to
    /// send.
    pub(super) order_backlog: Arc<AtomicUsize>,
    pub(super) order_losses: Arc<Mutex<OrderLosses>>,
    pub(super) metrics: Metrics,
    pub(super) log: Logger,
}

/// A connection from a forwarder: an entry, or a core that doesn't lead.
#[derive(Clone)]
pub(super) struct ForwarderLink {
    /// The other end's VM; `None` if its IPv4 address couldn't be read.
    pub(super) vm: Option<Ipv4Addr>,
    pub(super) sender: Sender<Packet>,
}

impl Shared {
    /// The last hint; if this node leads, with the VMs of the forwarders that are
    /// connected to it.
    pub(super) fn hint_with_entries(&self) -> LeaderHint {
        let mut hint = lock(&self.leader_hint).clone();
        if hint.reaches_leader {
            let links = lock(&self.links);
            hint.entries = links.values().filter_map(|link| link.vm).collect();
        }
        hint
    }

    /// Sends the current hint to every connected forwarder.
    pub(super) fn broadcast_hint(&self) {
        let hint = self.hint_with_entries();
        for link in lock(&self.links).values() {
            // A forwarder whose send queue is full gets the next hint.
            let _ = link.sender.try_send(Packet::LeaderHint(hint.clone()));
        }
    }
}

/// Sends a hint with the new list of entries after a delay, so that forwarders
/// that connect at the same time cause one hint.
pub(super) fn broadcast_hint_later(shared: &Shared) {
    let shared = shared.clone();
    tokio::spawn(async move {
        tokio::time::sleep(HINT_DELAY).await;
        shared.broadcast_hint();
    });
}

/// The delay between a change of the connected forwarders and its hint.
const HINT_DELAY: Duration = Duration::from_millis(400);

/// Queues an input for the control thread. It is dropped if the queue is full,
/// so this is only for inputs that their sender repeats.
pub(super) fn submit_input(shared: &Shared, input: Input) {
    if shared.inputs.try_send(input).is_err() {
        shared.metrics.count("dropped_inputs", 1);
    }
}
