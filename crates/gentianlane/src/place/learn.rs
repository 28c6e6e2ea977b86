//! What workloads have been seen to need, against what they declare.

use hdrhistogram::Histogram;
use indexmap::IndexMap;

use crate::id;
use crate::unit::{Bytes, Millicores, Size, Span};

/// How many workloads are remembered; the one learned longest ago goes first.
const WORKLOADS: usize = 512;

/// The longest run time that is told apart, in milliseconds.
const LONGEST: u64 = 7 * 24 * 3_600 * 1_000;

/// How many runs it takes before they count for more than the declaration.
const ENOUGH: u64 = 3;

/// The run time of a workload that declares none and hasn't run.
const UNKNOWN: Span = Span::from_secs(60);

/// How slowly what is asked for beside an accelerator is forgotten, in tasks.
const FADING: u64 = 64;

/// Significant decimal digits of what is remembered.
const DIGITS: u8 = 1;

/// What workloads have been seen to need.
#[derive(Debug, Default, Clone)]
pub(crate) struct Learner {
    seen: IndexMap<id::Workload, Seen>,
    beside: Size,
}

#[derive(Debug, Clone)]
struct Seen {
    /// Run times in milliseconds.
    runs: Histogram<u32>,
    /// Peak processors in millicores.
    cpu: Histogram<u32>,
    /// Peak memory in MiB.
    memory: Histogram<u32>,
}

impl Learner {
    /// Takes in how long a task ran.
    pub(crate) fn ran(&mut self, workload: &id::Workload, span: Span) {
        if let Some(seen) = self.seen(workload) {
            seen.runs.saturating_record(span.as_millis().max(1));
        }
    }

    /// Takes in what a task asks for, as it comes.
    pub(crate) fn asked(&mut self, size: &Size) {
        let devices = u64::from(size.accelerators.0);
        let Some(cpu) = size.cpu.0.checked_div(devices) else {
            return;
        };
        let memory = size.memory.0 / devices;
        let next = |old: u64, new: u64| match new >= old {
            true => new,
            false => old - (old - new) / FADING,
        };
        let old = self.beside;
        self.beside = Size::new(next(old.cpu.0, cpu), next(old.memory.0, memory), 0);
    }

    /// What tasks ask for beside each accelerator, at the most of late.
    pub(crate) fn beside(&self) -> Size {
        self.beside
    }

    /// Takes in the most that a task was seen to use.
    pub(crate) fn used(&mut self, workload: &id::Workload, peak: &Size) {
        if let Some(seen) = self.seen(workload) {
            seen.cpu.saturating_record(peak.cpu.0.max(1));
            seen.memory
                .saturating_record((peak.memory.0 >> 20).clamp(1, LONGEST));
        }
    }

    /// How long half of the runs take at most, or what is declared.
    pub(crate) fn middle(&self, workload: &id::Workload, declared: Option<Span>) -> Span {
        self.quantile(workload, 0.5).or(declared).unwrap_or(UNKNOWN)
    }

    /// How long nine of ten runs take at most; `None` if too few were seen.
    pub(crate) fn most(&self, workload: &id::Workload) -> Option<Span> {
        self.quantile(workload, 0.9)
    }

    /// The peak use of nine of ten tasks; `None` if too few were seen.
    pub(crate) fn peak(&self, workload: &id::Workload) -> Option<Size> {
        let seen = self.seen.get(workload)?;
        if seen.cpu.len() < ENOUGH {
            return None;
        }
        Some(Size {
            cpu: Millicores(seen.cpu.value_at_quantile(0.9)),
            memory: Bytes(seen.memory.value_at_quantile(0.9) << 20),
            ..Size::default()
        })
    }

    fn quantile(&self, workload: &id::Workload, quantile: f64) -> Option<Span> {
        let seen = self.seen.get(workload)?;
        let enough = seen.runs.len() >= ENOUGH;
        enough.then(|| Span::from_millis(seen.runs.value_at_quantile(quantile)))
    }

    fn seen(&mut self, workload: &id::Workload) -> Option<&mut Seen> {
        if !self.seen.contains_key(workload) {
            let histogram = || Histogram::new_with_max(LONGEST, DIGITS).ok();
            let seen = Seen {
                runs: histogram()?,
                cpu: histogram()?,
                memory: histogram()?,
            };
            if self.seen.len() >= WORKLOADS {
                self.seen.shift_remove_index(0);
            }
            self.seen.insert(workload.clone(), seen);
        }
        self.seen.get_mut(workload)
    }
}
