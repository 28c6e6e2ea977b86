//! Trace spans, and the W3C `traceparent` that propagates their context.

use std::cell::Cell;
use std::fmt;
use std::str::FromStr;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use flume::Sender;
use gentianlane::unit::Wall;

use crate::clock::Clock;

thread_local! {
    /// The context of the span that this thread is in.
    static CURRENT: Cell<Option<Context>> = const { Cell::new(None) };
}

/// A trace context: the ids of a trace and of one of its spans.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Context {
    pub(crate) trace_id: u128,
    pub(crate) span_id: u64,
}

impl fmt::Display for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "00-{:032x}-{:016x}-01", self.trace_id, self.span_id)
    }
}

impl FromStr for Context {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let mut parts = text.split('-');
        let (version, trace) = (parts.next().ok_or(())?, parts.next().ok_or(())?);
        let (span, flags) = (parts.next().ok_or(())?, parts.next().ok_or(())?);
        let lengths = [version, trace, span, flags].map(str::len);
        let is_lowercase_hex = text
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f' | b'-'));
        if lengths != [2, 32, 16, 2] || !is_lowercase_hex || version == "ff" {
            return Err(());
        }
        let trace_id = u128::from_str_radix(trace, 16).map_err(|_| ())?;
        let span_id = u64::from_str_radix(span, 16).map_err(|_| ())?;
        match (trace_id, span_id) {
            (0, _) | (_, 0) => Err(()),
            _ => Ok(Self { trace_id, span_id }),
        }
    }
}

/// A finished span, as it is queued for export.
#[derive(Debug, Clone)]
pub(crate) struct FinishedSpan {
    pub(crate) context: Context,
    pub(crate) parent: Option<u64>,
    pub(crate) name: &'static str,
    pub(crate) call: &'static str,
    pub(crate) start: Wall,
    pub(crate) end: Wall,
}

/// Starts spans; does nothing unless traces are exported.
#[derive(Clone, Default)]
pub(crate) struct Tracer(pub(crate) Option<Queue>);

/// The queue to the exporter.
#[derive(Clone)]
pub(crate) struct Queue {
    pub(crate) spans: Sender<FinishedSpan>,
    /// The number of spans dropped for a full queue since the exporter last read it.
    pub(crate) dropped: Arc<AtomicUsize>,
}

impl Tracer {
    /// Starts a span under a parent, or as the root of a new trace without one.
    pub(crate) fn start_span(
        &self,
        name: &'static str,
        call: &'static str,
        parent: Option<Context>,
    ) -> Option<Span> {
        let queue = self.0.clone()?;
        let trace_id = parent.map_or_else(rand::random, |parent| parent.trace_id);
        let context = Context {
            trace_id,
            span_id: rand::random(),
        };
        Some(Span {
            queue,
            context,
            parent: parent.map(|parent| parent.span_id),
            name,
            call,
            start: Clock::wall(),
        })
    }
}

/// A running span; queued for export when dropped.
pub(crate) struct Span {
    queue: Queue,
    context: Context,
    parent: Option<u64>,
    name: &'static str,
    call: &'static str,
    start: Wall,
}

impl Span {
    pub(crate) fn context(&self) -> Context {
        self.context
    }

    /// Runs a closure with this span as the thread's current one, the parent of
    /// spans that the closure starts.
    pub(crate) fn in_scope<T>(span: Option<&Self>, work: impl FnOnce() -> T) -> T {
        let previous = CURRENT.replace(span.map(Self::context));
        let result = work();
        CURRENT.set(previous);
        result
    }

    /// The context of the span that this thread is in.
    pub(crate) fn current() -> Option<Context> {
        CURRENT.get()
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        let finished = FinishedSpan {
            context: self.context,
            parent: self.parent,
            name: self.name,
            call: self.call,
            start: self.start,
            end: Clock::wall(),
        };
        if self.queue.spans.try_send(finished).is_err() {
            self.queue.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}
