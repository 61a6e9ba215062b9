//! The parts of the system that faults disrupted, with the times.
//!
//! During a disruption, some outcomes break no promise: for example, a call may be lost when the
//! connections of its caller were reset.

use base::prelude::*;

/// A part of the system whose disruption exempts some outcomes from the promises. The numbers are
/// the indexes of VMs or upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DisruptedPart {
    /// The store, which is faulty or unreachable.
    Store,
    /// The connections of a VM to the store, which break or are slow.
    StoreLink(usize),
    /// The connections of callers to a VM, which break.
    CallerLink(usize),
    /// The connections of all VMs to an upstream, which break.
    UpstreamLink(usize),
    /// The connections of all VMs to an upstream, which are slow.
    SlowLink(usize),
    /// An upstream that breaks connections or sends malformed or wrong answers.
    Upstream(usize),
    /// A VM whose process is suspended.
    Paused(usize),
    /// A VM that has no process or whose process is not ready yet.
    Starting(usize),
    /// The machine that runs all processes, which stalled.
    Machine,
}

/// The time for which a part was disrupted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct DisruptionSpan {
    part: DisruptedPart,
    from: ClockTime,
    /// `ClockTime::MAX` while the disruption lasts.
    to: ClockTime,
}

/// All disruptions of a run.
#[derive(Clone, Debug, Default)]
pub struct DisruptionLog {
    spans: Vec<DisruptionSpan>,
}

impl DisruptionLog {
    /// Records the start of a disruption. A part can have several disruptions at once.
    pub fn begin(&mut self, part: DisruptedPart, now: ClockTime) {
        self.spans.push(DisruptionSpan { part, from: now, to: ClockTime::MAX });
    }

    /// Records the end of the oldest disruption of a part that has not ended.
    pub fn end(&mut self, part: DisruptedPart, now: ClockTime) {
        let is_open = |span: &&mut DisruptionSpan| span.part == part && span.to == ClockTime::MAX;
        if let Some(span) = self.spans.iter_mut().find(is_open) {
            span.to = now;
        }
    }

    /// Records a disruption that has already ended.
    pub fn add(&mut self, part: DisruptedPart, from: ClockTime, to: ClockTime) {
        self.spans.push(DisruptionSpan { part, from, to });
    }

    /// Returns whether one of `parts` was disrupted at any time from `from` to `to`, or at most
    /// `margin` before `from`.
    pub fn overlaps(
        &self,
        parts: &[DisruptedPart],
        from: ClockTime,
        to: ClockTime,
        margin: ClockSpan,
    ) -> bool {
        self.spans.iter().any(|span| {
            parts.contains(&span.part)
                && span.from <= to
                && (span.to == ClockTime::MAX || span.to + margin >= from)
        })
    }

    /// Returns the end of a time limit that starts at `from` and is `bound` long. If one of `parts`
    /// is disrupted before that end, the limit is extended to at least `window` after the end of
    /// the disruption, or to `ClockTime::MAX` while the disruption lasts.
    pub fn extend_bound(
        &self,
        parts: &[DisruptedPart],
        from: ClockTime,
        bound: ClockSpan,
        window: ClockSpan,
    ) -> ClockTime {
        let mut spans: Vec<&DisruptionSpan> =
            self.spans.iter().filter(|span| parts.contains(&span.part)).collect();
        spans.sort_by_key(|span| span.from);
        spans.into_iter().fold(from + bound, |end, span| match span.to {
            _ if span.from > end => end,
            ClockTime::MAX => ClockTime::MAX,
            to => end.max(to + window),
        })
    }
}
