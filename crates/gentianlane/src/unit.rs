//! Quantities with their units.

use derive_more::{Add, AddAssign, Display, From, Into, Sum};
use serde::{Deserialize, Serialize};

/// A point in time on a process's own monotonic clock, in milliseconds.
///
/// The origin is the start of the process, so points of two processes can't be
/// compared.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, From, Into, Display,
)]
#[display("{_0} ms")]
pub struct Time(u64);

impl Time {
    /// The point `millis` milliseconds after the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the origin.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The time from `earlier` to this point, or zero if `earlier` is later.
    ///
    /// ```
    /// use gentianlane::unit::{Span, Time};
    /// let since = Time::from_millis(900).since(Time::from_millis(400));
    /// assert_eq!(since, Span::from_millis(500));
    /// ```
    #[must_use]
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// The point a span after this one.
    #[must_use]
    pub const fn after(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

/// A length of time in milliseconds.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    From,
    Into,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{_0} ms")]
#[serde(transparent)]
pub struct Span(u64);

impl Span {
    /// A span of zero milliseconds.
    pub const ZERO: Self = Self(0);

    /// A span of `millis` milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// A span of `secs` seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000))
    }

    /// The length in milliseconds.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The difference of two spans, or zero if `other` is longer.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// This span multiplied by `count`, or the longest span on overflow.
    #[must_use]
    pub const fn saturating_mul(self, count: u64) -> Self {
        Self(self.0.saturating_mul(count))
    }
}

impl std::ops::Add for Span {
    type Output = Self;

    /// The sum of two spans, or the longest span on overflow.
    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl std::ops::AddAssign for Span {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl std::iter::Sum for Span {
    fn sum<I: Iterator<Item = Self>>(spans: I) -> Self {
        spans.fold(Self::ZERO, std::ops::Add::add)
    }
}

impl From<Span> for std::time::Duration {
    fn from(span: Span) -> Self {
        Self::from_millis(span.0)
    }
}

/// A point in wall-clock time, in milliseconds since 1970-01-01 UTC.
///
/// Wall clocks may jump, so only a leader puts it into commands, as their time
/// stamp, and no lease depends on it.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    From,
    Into,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Wall(u64);

impl Wall {
    /// The point `millis` milliseconds after 1970-01-01 UTC.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since 1970-01-01 UTC.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The point a span after this one.
    #[must_use]
    pub const fn after(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }

    /// The time from `earlier` to this point, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

/// Processor capacity, in thousandths of a core.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    From,
    Into,
    Display,
    Add,
    AddAssign,
    Sum,
    Serialize,
    Deserialize,
)]
#[display("{_0}m")]
#[serde(transparent)]
pub struct Millicores(pub u64);

/// An amount of memory, in bytes.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    From,
    Into,
    Display,
    Add,
    AddAssign,
    Sum,
    Serialize,
    Deserialize,
)]
#[display("{_0} B")]
#[serde(transparent)]
pub struct Bytes(pub u64);

/// A number of whole accelerators, such as GPUs.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    From,
    Into,
    Display,
    Add,
    AddAssign,
    Sum,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Accelerators(pub u32);

/// The resources that a task needs or a worker offers.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Display,
    Add,
    AddAssign,
    Sum,
    Serialize,
    Deserialize,
)]
#[display("{cpu} {memory} {accelerators} accelerators")]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Processor capacity, in thousandths of a core.
    pub cpu: Millicores,
    /// Memory, in bytes.
    pub memory: Bytes,
    /// Whole accelerators; zero if absent in JSON.
    #[serde(default)]
    pub accelerators: Accelerators,
}

impl Size {
    /// A size from thousandths of a core, bytes and accelerators.
    #[must_use]
    pub const fn new(cpu: u64, memory: u64, accelerators: u32) -> Self {
        Self {
            cpu: Millicores(cpu),
            memory: Bytes(memory),
            accelerators: Accelerators(accelerators),
        }
    }

    /// Whether every resource of this size is at most that of `available`.
    ///
    /// ```
    /// use gentianlane::unit::Size;
    /// let available = Size::new(4_000, 8 << 30, 1);
    /// assert!(Size::new(4_000, 1 << 30, 0).fits(&available));
    /// assert!(!Size::new(1_000, 1 << 30, 2).fits(&available));
    /// ```
    #[must_use]
    pub fn fits(&self, available: &Self) -> bool {
        self.cpu <= available.cpu
            && self.memory <= available.memory
            && self.accelerators <= available.accelerators
    }

    /// The difference of each resource, or `None` if `other` has more of one.
    ///
    /// ```
    /// use gentianlane::unit::Size;
    /// let available = Size::new(4_000, 100, 0);
    /// let rest = available.checked_sub(&Size::new(1_000, 40, 0));
    /// assert_eq!(rest, Some(Size::new(3_000, 60, 0)));
    /// assert_eq!(available.checked_sub(&Size::new(5_000, 40, 0)), None);
    /// ```
    #[must_use]
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu: Millicores(self.cpu.0.checked_sub(other.cpu.0)?),
            memory: Bytes(self.memory.0.checked_sub(other.memory.0)?),
            accelerators: Accelerators(
                self.accelerators.0.checked_sub(other.accelerators.0)?,
            ),
        })
    }

    /// The sum of each resource, or `None` on overflow.
    #[must_use]
    pub fn checked_add(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu: Millicores(self.cpu.0.checked_add(other.cpu.0)?),
            memory: Bytes(self.memory.0.checked_add(other.memory.0)?),
            accelerators: Accelerators(
                self.accelerators.0.checked_add(other.accelerators.0)?,
            ),
        })
    }

    /// Each resource multiplied by `count`, or `None` on overflow.
    #[must_use]
    pub fn checked_mul(&self, count: u32) -> Option<Self> {
        Some(Self {
            cpu: Millicores(self.cpu.0.checked_mul(u64::from(count))?),
            memory: Bytes(self.memory.0.checked_mul(u64::from(count))?),
            accelerators: Accelerators(self.accelerators.0.checked_mul(count)?),
        })
    }
}
