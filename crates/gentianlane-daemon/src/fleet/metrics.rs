//! Counters, gauges and latency histograms, rendered in the Prometheus text format.

use std::fmt::Write as _;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;

/// The longest latency that is recorded, in microseconds; longer ones count as
/// this.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// A process's metrics; clones share their values.
#[derive(Debug, Clone, Default)]
pub(crate) struct Metrics {
    registry: Arc<Mutex<Registry>>,
}

#[derive(Debug, Default)]
struct Registry {
    counters: IndexMap<&'static str, u64>,
    gauges: IndexMap<&'static str, u64>,
    latencies: IndexMap<&'static str, Histogram<u64>>,
}

impl Metrics {
    /// Adds to a counter.
    pub(crate) fn count(&self, name: &'static str, by: u64) {
        *self.lock().counters.entry(name).or_insert(0) += by;
    }

    /// Sets a gauge.
    pub(crate) fn set(&self, name: &'static str, value: u64) {
        self.lock().gauges.insert(name, value);
    }

    /// Records a latency.
    pub(crate) fn time(&self, name: &'static str, took: Duration) {
        let micros = u64::try_from(took.as_micros())
            .unwrap_or(MAX_LATENCY_MICROS)
            .clamp(1, MAX_LATENCY_MICROS);
        let mut registry = self.lock();
        if !registry.latencies.contains_key(name)
            && let Ok(histogram) = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 2)
        {
            registry.latencies.insert(name, histogram);
        }
        if let Some(histogram) = registry.latencies.get_mut(name) {
            histogram.saturating_record(micros);
        }
    }

    /// All metrics, one value per line.
    pub(crate) fn render(&self) -> String {
        let registry = self.lock();
        let mut text = String::new();
        for (name, count) in &registry.counters {
            // Writing to a string can't fail.
            let _ = writeln!(text, "gentianlane_{name}_total {count}");
        }
        for (name, value) in &registry.gauges {
            let _ = writeln!(text, "gentianlane_{name} {value}");
        }
        for (name, histogram) in &registry.latencies {
            for quantile in [0.5, 0.9, 0.99, 1.0] {
                let micros = histogram.value_at_quantile(quantile);
                let _ = writeln!(
                    text,
                    "gentianlane_{name}_micros{{quantile=\"{quantile}\"}} {micros}"
                );
            }
            let count = histogram.len();
            let _ = writeln!(text, "gentianlane_{name}_micros_count {count}");
        }
        text
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
