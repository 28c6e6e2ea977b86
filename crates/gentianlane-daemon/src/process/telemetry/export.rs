//! Exports spans as OTLP in JSON over HTTP, on a background thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use flume::Receiver;
use gentianlane::unit::Wall;
use serde::Serialize;

use crate::process::telemetry::metrics::Metrics;
use crate::process::telemetry::trace::{FinishedSpan, Queue, Tracer};

/// The capacity of the span queue; further spans are dropped and counted.
const QUEUE_LIMIT: usize = 2_048;

/// The most spans in one export.
const MAX_BATCH: usize = 256;

/// The longest time for one export; it applies to the connection alone, too.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// The path at which an OTLP collector accepts traces.
const TRACES_PATH: &str = "/v1/traces";

/// The OTLP span kind `SPAN_KIND_SERVER`.
const SPAN_KIND_SERVER: u8 = 2;

/// Starts the exporter; it ends when the last tracer is dropped. Without an
/// address, the tracer records nothing.
pub(crate) fn start(to: Option<SocketAddr>, node: String, metrics: Metrics) -> Tracer {
    let Some(to) = to else {
        return Tracer::default();
    };
    let (spans, waiting) = flume::bounded(QUEUE_LIMIT);
    let dropped = Arc::new(AtomicUsize::new(0));
    let exporter = Exporter {
        url: format!("http://{to}{TRACES_PATH}"),
        node,
        waiting,
        dropped: Arc::clone(&dropped),
        metrics,
    };
    thread::spawn(move || exporter.run());
    Tracer(Some(Queue { spans, dropped }))
}

/// The state of the exporting thread.
struct Exporter {
    url: String,
    node: String,
    waiting: Receiver<FinishedSpan>,
    dropped: Arc<AtomicUsize>,
    metrics: Metrics,
}

impl Exporter {
    fn run(self) {
        while let Ok(first) = self.waiting.recv() {
            let more = self.waiting.try_iter().take(MAX_BATCH - 1);
            let spans: Vec<FinishedSpan> = std::iter::once(first).chain(more).collect();
            let mut lost = self.dropped.swap(0, Ordering::Relaxed);
            if !self.send(&spans) {
                lost += spans.len();
            }
            if lost > 0 {
                self.metrics.dropped_spans(lost);
            }
        }
    }

    fn send(&self, spans: &[FinishedSpan]) -> bool {
        let request = attohttpc::post(&self.url)
            .connect_timeout(EXPORT_TIMEOUT)
            .timeout(EXPORT_TIMEOUT)
            .json(&ExportRequest::new(&self.node, spans));
        let response = request.and_then(attohttpc::RequestBuilder::send);
        response.is_ok_and(|response| response.is_success())
    }
}

/// The body of one export, with the field names of the OpenTelemetry protocol.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct ExportRequest {
    resource_spans: [ResourceSpans; 1],
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct ResourceSpans {
    resource: Resource,
    scope_spans: [ScopeSpans; 1],
}

#[derive(Serialize)]
struct Resource {
    attributes: Vec<Attribute>,
}

#[derive(Serialize)]
struct ScopeSpans {
    scope: Scope,
    spans: Vec<Span>,
}

#[derive(Serialize)]
struct Scope {
    name: &'static str,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Span {
    trace_id: String,
    span_id: String,
    parent_span_id: String,
    name: &'static str,
    kind: u8,
    start_time_unix_nano: String,
    end_time_unix_nano: String,
    attributes: Vec<Attribute>,
}

#[derive(Serialize)]
struct Attribute {
    key: &'static str,
    value: Value,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Value {
    string_value: String,
}

impl Attribute {
    fn new(key: &'static str, text: &str) -> Self {
        let string_value = text.to_owned();
        Self {
            key,
            value: Value { string_value },
        }
    }
}

impl ExportRequest {
    fn new(node: &str, spans: &[FinishedSpan]) -> Self {
        let attributes = vec![
            Attribute::new("service.name", "gentianlaned"),
            Attribute::new("service.instance.id", node),
        ];
        let scope = Scope {
            name: "gentianlane",
        };
        let spans = spans.iter().map(Span::new).collect();
        Self {
            resource_spans: [ResourceSpans {
                resource: Resource { attributes },
                scope_spans: [ScopeSpans { scope, spans }],
            }],
        }
    }
}

impl Span {
    fn new(span: &FinishedSpan) -> Self {
        let parent = span.parent.map(|parent| format!("{parent:016x}"));
        Self {
            trace_id: format!("{:032x}", span.context.trace_id),
            span_id: format!("{:016x}", span.context.span_id),
            parent_span_id: parent.unwrap_or_default(),
            name: span.name,
            kind: SPAN_KIND_SERVER,
            start_time_unix_nano: unix_nanos(span.start),
            end_time_unix_nano: unix_nanos(span.end),
            attributes: vec![Attribute::new("gentianlane.call", span.call)],
        }
    }
}

fn unix_nanos(at: Wall) -> String {
    format!("{}000000", at.as_millis())
}
