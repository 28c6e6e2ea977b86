//! Metrics, sent as StatsD over UDP.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::prelude::{Counted, Gauged, Timed};
use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use gentianlane::api::Reply;
use gentianlane::consensus::Role;
use miette::{IntoDiagnostic, Result};

/// The prefix of every metric's name.
const PREFIX: &str = "gentianlane";

/// The capacity of the queue of unsent metrics; further ones are dropped.
const QUEUE_LIMIT: usize = 4_096;

/// A StatsD client with this node's tag; cheap to clone.
#[derive(Clone)]
pub(crate) struct Metrics(Arc<StatsdClient>);

impl Metrics {
    /// Creates a client that sends to an address, or discards everything without
    /// one.
    pub(crate) fn start(to: Option<SocketAddr>, node: &str) -> Result<Self> {
        let builder = match to {
            None => StatsdClient::builder(PREFIX, NopMetricSink),
            Some(to) => {
                let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0));
                let socket = socket.into_diagnostic()?;
                socket.set_nonblocking(true).into_diagnostic()?;
                let sink = UdpMetricSink::from(to, socket).into_diagnostic()?;
                let sink = QueuingMetricSink::with_capacity(sink, QUEUE_LIMIT);
                StatsdClient::builder(PREFIX, sink)
            }
        };
        Ok(Self(Arc::new(builder.with_tag("node", node).build())))
    }

    /// Counts an answered call of a caller and its duration.
    pub(crate) fn call_answered(&self, name: &str, reply: &Reply, elapsed: Duration) {
        let verdict = match reply.verdict() {
            Some(verdict) => verdict.to_string().replace(' ', "_"),
            None => "none".to_owned(),
        };
        let count = self.0.count_with_tags("calls", 1);
        count
            .with_tag("call", name)
            .with_tag("verdict", &verdict)
            .send();
        let time = self.0.time_with_tags("calls.time", elapsed);
        time.with_tag("call", name).send();
    }

    /// Counts a request that was refused before it was read completely.
    pub(crate) fn unreadable_request(&self) {
        let _ = self.0.count("requests.unreadable", 1);
    }

    /// Counts a frame that was queued for another node, or dropped as the queue was
    /// full.
    pub(crate) fn outgoing_frame(&self, bytes: usize, sent: bool) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        match sent {
            true => {
                let _ = self.0.count("frames.sent", 1);
                let _ = self.0.count("frames.bytes", bytes);
            }
            false => {
                let _ = self.0.count("frames.dropped", 1);
            }
        }
    }

    /// Counts a frame that couldn't be decoded or isn't for this node.
    pub(crate) fn rejected_frame(&self) {
        let _ = self.0.count("frames.refused", 1);
    }

    /// Reports the length of the control thread's input queue.
    pub(crate) fn control_queue_length(&self, inputs: usize) {
        let inputs = u64::try_from(inputs).unwrap_or(u64::MAX);
        let _ = self.0.gauge("control.waiting", inputs);
    }

    /// Reports the duration of writing and syncing records.
    pub(crate) fn journal_sync(&self, elapsed: Duration) {
        let _ = self.0.time("journal.sync", elapsed);
    }

    /// Counts a change of the node's consensus role.
    pub(crate) fn role_change(&self, role: Role) {
        let text = format!("{role:?}").to_lowercase();
        let name = text.split('(').next().unwrap_or_default();
        let count = self.0.count_with_tags("roles", 1);
        count.with_tag("role", name).send();
    }

    /// Counts spans that weren't exported.
    pub(crate) fn dropped_spans(&self, spans: usize) {
        let spans = i64::try_from(spans).unwrap_or(i64::MAX);
        let _ = self.0.count("spans.dropped", spans);
    }
}
