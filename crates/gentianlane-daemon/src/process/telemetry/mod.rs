//! Telemetry of the process: metrics over UDP and traces over HTTP.

pub(crate) mod export;
pub(crate) mod metrics;
pub(crate) mod trace;

use gentianlane::api::Call;
use miette::Result;

use crate::process::settings::Settings;
use metrics::Metrics;
use trace::Tracer;

/// The process's metrics and tracer; cheap to clone.
#[derive(Clone)]
pub(crate) struct Telemetry {
    pub(crate) metrics: Metrics,
    pub(crate) tracer: Tracer,
}

impl Telemetry {
    /// Starts the metrics and traces that the settings turn on.
    pub(crate) fn start(settings: &Settings) -> Result<Self> {
        let node = settings.node.to_string();
        let metrics = Metrics::start(settings.telemetry.metrics, &node)?;
        let tracer = export::start(settings.telemetry.traces, node, metrics.clone());
        Ok(Self { metrics, tracer })
    }
}

/// The name of a call in metrics and spans.
pub(crate) fn call_name(call: &Call) -> &'static str {
    match call {
        Call::Submit(_) => "submit",
        Call::Wait(_) => "wait",
        Call::Cancel(_) => "cancel",
        Call::Announce(_) => "announce",
        Call::Renew(_) => "renew",
        Call::Finish(_) => "finish",
        Call::Leave(_) => "leave",
        Call::Note(_) => "note",
        Call::NoteStatus => "note_status",
        Call::Workers => "workers",
        Call::Jobs => "jobs",
        Call::Explain(_) => "explain",
        Call::Drain(_) => "drain",
        Call::Members => "members",
    }
}
