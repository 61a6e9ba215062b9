//! Decides from connection events whether an upstream crashed.

use base::prelude::*;

use crate::tuning::SuspectTuning;

/// Recent connection events of one upstream.
#[derive(Debug, Default)]
struct ConnectionEvents {
    losses: Vec<ClockTime>,
    refusals: usize,
}

/// Detects crashes from lost and refused connections, for each upstream.
///
/// An upstream crashed if several connections were lost within a short time and then a connect was
/// refused, or if one connection was lost and then several connects were refused. A lost connection
/// alone is no crash: callers, idle timeouts and networks close connections as well.
#[derive(Debug, Default)]
pub struct CrashDetector {
    upstreams: NameMap<ConnectionEvents>,
}

impl CrashDetector {
    /// Records that a connection with an unfinished call was lost.
    pub fn record_loss(&mut self, upstream: &SharedName, tuning: &SuspectTuning, now: ClockTime) {
        let events = self.upstreams.entry(upstream.clone()).or_default();
        events.losses.retain(|loss| now.since(*loss) <= tuning.refusal_span);
        if events.losses.is_empty() {
            events.refusals = 0;
        }
        // Losses beyond the number that the rule needs would change nothing.
        if events.losses.len() >= tuning.losses.max(1) {
            events.losses.remove(0);
        }
        events.losses.push(now);
    }

    /// Records a refused connect and returns whether it shows that the upstream crashed. The events
    /// of the upstream are then discarded.
    pub fn record_refusal(
        &mut self,
        upstream: &SharedName,
        tuning: &SuspectTuning,
        now: ClockTime,
    ) -> bool {
        let Some(events) = self.upstreams.get_mut(upstream) else { return false };
        let Some(newest) = events.losses.iter().max().copied() else { return false };
        if now.since(newest) > tuning.refusal_span {
            self.upstreams.remove(upstream);
            return false;
        }
        events.refusals += 1;
        let together =
            events.losses.iter().filter(|loss| newest.since(**loss) <= tuning.loss_span).count();
        let crashed = together >= tuning.losses || events.refusals >= tuning.refusals;
        if crashed {
            self.upstreams.remove(upstream);
        }
        crashed
    }

    /// Keeps only the upstreams for which `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.upstreams.retain(|upstream, _| keep(upstream));
    }
}
