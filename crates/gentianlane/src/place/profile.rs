//! What workloads have been seen to need, against what they declare.

use hdrhistogram::Histogram;
use indexmap::IndexMap;

use crate::id;
use crate::unit::{Bytes, Millicores, Size, Span};

/// How many workloads are remembered; the one learned longest ago goes first.
const MAX_WORKLOADS: usize = 512;

/// The longest run time that is told apart, in milliseconds.
const MAX_VALUE: u64 = 7 * 24 * 3_600 * 1_000;

/// How many runs it takes before they count for more than the declaration.
const MIN_SAMPLES: u64 = 3;

/// The run time of a workload that declares none and hasn't run.
const DEFAULT_RUNTIME: Span = Span::from_secs(60);

/// How slowly what is asked for beside an accelerator is forgotten, in tasks.
const HEADROOM_DECAY: u64 = 64;

/// Significant decimal digits of what is remembered.
const SIGNIFICANT_DIGITS: u8 = 1;

/// What workloads have been seen to need.
#[derive(Debug, Default, Clone)]
pub(crate) struct Profiles {
    workloads: IndexMap<id::Workload, Profile>,
    accelerator_headroom: Size,
}

#[derive(Debug, Clone)]
struct Profile {
    /// Run times in milliseconds.
    runtime: Histogram<u32>,
    /// Peak processors in millicores.
    cpu: Histogram<u32>,
    /// Peak memory in MiB.
    memory: Histogram<u32>,
}

impl Profiles {
    /// Takes in how long a task ran.
    pub(crate) fn record_runtime(&mut self, workload: &id::Workload, span: Span) {
        if let Some(profile) = self.profile_mut(workload) {
            profile.runtime.saturating_record(span.as_millis().max(1));
        }
    }

    /// Takes in what a task asks for, as it comes.
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

    /// What tasks ask for beside each accelerator, at the most of late.
    pub(crate) fn accelerator_headroom(&self) -> Size {
        self.accelerator_headroom
    }

    /// Takes in the most that a task was seen to use.
    pub(crate) fn record_usage(&mut self, workload: &id::Workload, peak: &Size) {
        if let Some(profile) = self.profile_mut(workload) {
            profile.cpu.saturating_record(peak.cpu.0.max(1));
            profile
                .memory
                .saturating_record((peak.memory.0 >> 20).clamp(1, MAX_VALUE));
        }
    }

    /// How long half of the runs take at most, or what is declared.
    pub(crate) fn median_runtime(
        &self,
        workload: &id::Workload,
        declared: Option<Span>,
    ) -> Span {
        self.runtime_quantile(workload, 0.5)
            .or(declared)
            .unwrap_or(DEFAULT_RUNTIME)
    }

    /// How long nine of ten runs take at most; `None` if too few were seen.
    pub(crate) fn p90_runtime(&self, workload: &id::Workload) -> Option<Span> {
        self.runtime_quantile(workload, 0.9)
    }

    /// The peak use of nine of ten tasks; `None` if too few were seen.
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
