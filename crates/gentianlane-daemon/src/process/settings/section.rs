//! The optional sections of settings, with their defaults and ranges.

use std::net::SocketAddr;

use gentianlane::consensus::Timing;
use gentianlane::lease;
use gentianlane::unit::Span;

use crate::process::settings::read::{Object, Reader};

/// The least number of heartbeat intervals in the election timeout.
const MIN_HEARTBEATS: u64 = 3;

/// The limits on callers, in all and per address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Limits {
    /// The most open connections.
    pub(crate) connections: usize,
    /// The most open connections from one address.
    pub(crate) connections_per_address: usize,
    /// The most requests served at the same time.
    pub(crate) open_requests: usize,
    /// The longest request line and headers, in bytes.
    pub(crate) head: usize,
    /// The longest request body, in bytes.
    pub(crate) body: usize,
    /// The longest time to receive a request line and headers.
    pub(crate) head_time: Span,
    /// The longest time to receive a request body.
    pub(crate) body_time: Span,
    /// The longest time to send a whole response.
    pub(crate) reply_time: Span,
    /// The longest idle time of a connection between two requests.
    pub(crate) idle_time: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 1_024,
            connections_per_address: 768,
            open_requests: 1_024,
            head: 16 << 10,
            body: 256 << 10,
            head_time: Span::from_secs(5),
            body_time: Span::from_secs(10),
            reply_time: Span::from_secs(10),
            idle_time: Span::from_secs(15),
        }
    }
}

/// The times for a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Stop {
    /// How long the health check fails before the listener closes.
    pub(crate) notice: Span,
    /// The longest wait, after the listener has closed, for open requests.
    pub(crate) limit: Span,
}

impl Default for Stop {
    fn default() -> Self {
        Self {
            notice: Span::from_secs(5),
            limit: Span::from_secs(35),
        }
    }
}

/// The receivers of metrics and traces; each is turned off if not given.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Telemetry {
    /// The address for metrics, sent as StatsD over UDP.
    pub(crate) metrics: Option<SocketAddr>,
    /// The address for traces, sent as OTLP over HTTP.
    pub(crate) traces: Option<SocketAddr>,
}

pub(super) fn timing<'a>(reader: &mut Reader<'a>, root: &mut Object<'a>) -> Timing {
    let mut object = reader.object(root, "timing");
    let defaults = Timing::default();
    let (ms, s) = (Span::from_millis, Span::from_secs);
    let range = ms(10)..=s(5);
    let heartbeat =
        reader.span(&mut object, "heartbeat", range, defaults.heartbeat_interval);
    let election = reader.span(
        &mut object,
        "election",
        ms(100)..=s(60),
        defaults.election_timeout,
    );
    let drift = reader.span(
        &mut object,
        "drift",
        ms(1)..=s(5),
        defaults.clock_drift_margin,
    );
    let repair = reader.span(
        &mut object,
        "repair",
        s(10)..=s(86_400),
        defaults.replacement_delay,
    );
    reader.reject_unknown_fields(object);
    if heartbeat.value.saturating_mul(MIN_HEARTBEATS) > election.value {
        let message =
            format!("`election` is shorter than {MIN_HEARTBEATS} times `heartbeat`");
        reader.report(heartbeat.later_location(&election), message);
    }
    if drift.value.saturating_mul(2) > election.value {
        reader.report(
            drift.later_location(&election),
            "`drift` is more than half of `election`",
        );
    }
    Timing {
        heartbeat_interval: heartbeat.value,
        election_timeout: election.value,
        clock_drift_margin: drift.value,
        replacement_delay: repair.value,
    }
}

pub(super) fn lease<'a>(reader: &mut Reader<'a>, root: &mut Object<'a>) -> lease::Timing {
    let mut object = reader.object(root, "lease");
    let defaults = lease::Timing::default();
    let (ms, s) = (Span::from_millis, Span::from_secs);
    let span = reader.span(&mut object, "span", s(1)..=s(600), defaults.duration);
    let drift = reader.span(
        &mut object,
        "drift",
        ms(10)..=s(60),
        defaults.clock_drift_margin,
    );
    reader.reject_unknown_fields(object);
    if drift.value >= span.value {
        reader.report(
            drift.later_location(&span),
            "`drift` isn't shorter than the lease's `span`",
        );
    }
    lease::Timing {
        duration: span.value,
        clock_drift_margin: drift.value,
    }
}

pub(super) fn limits<'a>(reader: &mut Reader<'a>, root: &mut Object<'a>) -> Limits {
    let mut object = reader.object(root, "limits");
    let defaults = Limits::default();
    let (ms, s) = (Span::from_millis, Span::from_secs);
    let mut count = |name, default| reader.count(&mut object, name, 1..=16_384, default);
    let connections = count("connections", defaults.connections);
    let default = defaults.connections_per_address.min(connections.value);
    let per_address = count("connections_per_address", default);
    let open = count(
        "open_requests",
        defaults.open_requests.min(connections.value),
    );
    let head = reader.size(&mut object, "head", 1 << 10..=64 << 10, defaults.head);
    let body = reader.size(&mut object, "body", 4 << 10..=4 << 20, defaults.body);
    let mut time = |name, default| {
        reader
            .span(&mut object, name, ms(100)..=s(60), default)
            .value
    };
    let limits = Limits {
        connections: connections.value,
        connections_per_address: per_address.value,
        open_requests: open.value,
        head: head.value,
        body: body.value,
        head_time: time("head_time", defaults.head_time),
        body_time: time("body_time", defaults.body_time),
        reply_time: time("reply_time", defaults.reply_time),
        idle_time: time("idle_time", defaults.idle_time),
    };
    reader.reject_unknown_fields(object);
    if limits.connections_per_address > limits.connections {
        reader.report(
            per_address.later_location(&connections),
            "`connections_per_address` is more than all `connections`",
        );
    }
    if limits.open_requests > limits.connections {
        let message =
            "`open_requests` is more than all `connections`, which carry one each";
        reader.report(open.later_location(&connections), message);
    }
    limits
}

pub(super) fn stop<'a>(reader: &mut Reader<'a>, root: &mut Object<'a>) -> Stop {
    let mut object = reader.object(root, "stop");
    let defaults = Stop::default();
    let s = Span::from_secs;
    let notice = reader.span(&mut object, "notice", Span::ZERO..=s(600), defaults.notice);
    let limit = reader.span(&mut object, "limit", s(1)..=s(600), defaults.limit);
    reader.reject_unknown_fields(object);
    Stop {
        notice: notice.value,
        limit: limit.value,
    }
}

pub(super) fn telemetry<'a>(reader: &mut Reader<'a>, root: &mut Object<'a>) -> Telemetry {
    let mut object = reader.object(root, "telemetry");
    let metrics = reader.optional(&mut object, "metrics");
    let traces = reader.optional(&mut object, "traces");
    reader.reject_unknown_fields(object);
    Telemetry {
        metrics: metrics.map(|metrics| metrics.value),
        traces: traces.map(|traces| traces.value),
    }
}
