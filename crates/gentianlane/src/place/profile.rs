//! Measured runtimes and peak usage of workloads, and the accelerator headroom
//! that follows from what jobs ask for.

use hdrhistogram::Histogram;
use indexmap::IndexMap;

use crate::id;
use crate::unit::{Bytes, Millicores, Size, Span};

/// The most workloads remembered; the one added first is forgotten first.
const MAX_WORKLOADS: usize = 512;

/// The largest recorded value: seven days in milliseconds for runtimes. Also
/// bounds usage in millicores and MiB. Larger values are clamped to it.
const MAX_VALUE: u64 = 7 * 24 * 3_600 * 1_000;

/// The number of samples from which measurements replace the declaration.
const MIN_SAMPLES: u64 = 3;

/// The runtime assumed for a workload that declares none and hasn't run often
/// enough.
const DEFAULT_RUNTIME: Span = Span::from_secs(60);

/// A request for less lowers the headroom by the difference divided by this, so
/// that a larger request is forgotten over about as many tasks.
const HEADROOM_DECAY: u64 = 64;

/// The precision of the histograms, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 1;

/// The profiles of all workloads.
#[derive(Debug, Default, Clone)]
pub(crate) struct Profiles {
    workloads: IndexMap<id::Workload, Profile>,
    accelerator_headroom: Size,
}

/// The measurements of one workload.
#[derive(Debug, Clone)]
struct Profile {
    /// Runtimes in milliseconds.
    runtime: Histogram<u32>,
    /// Peak processor usage in millicores.
    cpu: Histogram<u32>,
    /// Peak memory usage in MiB.
    memory: Histogram<u32>,
}

impl Profiles {
    /// Records the runtime of one task.
    pub(crate) fn record_runtime(&mut self, workload: &id::Workload, span: Span) {
        if let Some(profile) = self.profile_mut(workload) {
            profile.runtime.saturating_record(span.as_millis().max(1));
        }
    }

    /// Records the size that a queued task asks for. Tasks with accelerators
    /// raise the headroom to what they ask for per accelerator, or lower it by
    /// a small step.
    pub(crate) fn record_request(&mut self, size: &Size) {
        let devices = u64::from(size.accelerators.0);
        let Some(cpu) = size.cpu.0.checked_div(devices) else {
            return;
        };
        let memory = size.memory.0 / devices;
        let next = |old: u64, new: u64| match new >= old {
            true => new,
            false => old - (old - new) / HEADROOM_DECAY,
        };
        let old = self.accelerator_headroom;
        self.accelerator_headroom =
            Size::new(next(old.cpu.0, cpu), next(old.memory.0, memory), 0);
    }

    /// The CPU and memory to keep for each available accelerator: the most that
    /// recent tasks asked for per accelerator, slowly decaying.
    pub(crate) fn accelerator_headroom(&self) -> Size {
        self.accelerator_headroom
    }

    /// Records the peak usage of one task.
    pub(crate) fn record_usage(&mut self, workload: &id::Workload, peak: &Size) {
        if let Some(profile) = self.profile_mut(workload) {
            profile.cpu.saturating_record(peak.cpu.0.max(1));
            profile
                .memory
                .saturating_record((peak.memory.0 >> 20).clamp(1, MAX_VALUE));
        }
    }

    /// The median runtime, else the declared one, else [`DEFAULT_RUNTIME`].
    pub(crate) fn median_runtime(
        &self,
        workload: &id::Workload,
        declared: Option<Span>,
    ) -> Span {
        self.runtime_quantile(workload, 0.5)
            .or(declared)
            .unwrap_or(DEFAULT_RUNTIME)
    }

    /// The 90th percentile of the runtime; `None` if there are too few samples.
    pub(crate) fn p90_runtime(&self, workload: &id::Workload) -> Option<Span> {
        self.runtime_quantile(workload, 0.9)
    }

    /// The 90th percentile of the peak usage; `None` if there are too few
    /// samples.
    pub(crate) fn p90_usage(&self, workload: &id::Workload) -> Option<Size> {
        let profile = self.workloads.get(workload)?;
        if profile.cpu.len() < MIN_SAMPLES {
            return None;
        }
        Some(Size {
            cpu: Millicores(profile.cpu.value_at_quantile(0.9)),
            memory: Bytes(profile.memory.value_at_quantile(0.9) << 20),
            ..Size::default()
        })
    }

    fn runtime_quantile(&self, workload: &id::Workload, quantile: f64) -> Option<Span> {
        let profile = self.workloads.get(workload)?;
        let enough = profile.runtime.len() >= MIN_SAMPLES;
        enough.then(|| Span::from_millis(profile.runtime.value_at_quantile(quantile)))
    }

    /// A workload's profile, which is added if there is none.
    fn profile_mut(&mut self, workload: &id::Workload) -> Option<&mut Profile> {
        if !self.workloads.contains_key(workload) {
            let histogram =
                || Histogram::new_with_max(MAX_VALUE, SIGNIFICANT_DIGITS).ok();
            let profile = Profile {
                runtime: histogram()?,
                cpu: histogram()?,
                memory: histogram()?,
            };
            if self.workloads.len() >= MAX_WORKLOADS {
                self.workloads.shift_remove_index(0);
            }
            self.workloads.insert(workload.clone(), profile);
        }
        self.workloads.get_mut(workload)
    }
}
