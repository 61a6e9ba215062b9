//! Outcomes, ejection and slow start of one upstream.

use base::prelude::*;

use crate::estimate::decay_weight;
use crate::outcome::CallResult;
use crate::tuning::RouteTuning;

/// The health of one server according to the outcomes of its calls. Weights of outcomes are defined
/// in [`RouteTuning`].
#[derive(Clone, Debug, Default)]
pub struct HealthRecord {
    /// Decayed weight of recent failures.
    failures: f64,
    /// Decayed weight of recent outcomes.
    outcomes: f64,
    /// Weight of the failures since the last success.
    consecutive_failures: f64,
    outcome_at: ClockTime,
    connection_lost_at: Option<ClockTime>,
    failed_at: Option<ClockTime>,
    ejected_until: Option<ClockTime>,
    ejections: u32,
    ramp_from: Option<ClockTime>,
    restart_suspected: bool,
}

impl HealthRecord {
    /// Begins the slow start of the server.
    pub fn start_ramp(&mut self, now: ClockTime) {
        self.ramp_from = Some(self.ramp_from.map_or(now, |from| from.max(now)));
    }

    /// Records the end of a call that was sent at `sent_at` and returns whether the server should
    /// be ejected.
    pub fn record(
        &mut self,
        result: CallResult,
        sent_at: ClockTime,
        now: ClockTime,
        tuning: &RouteTuning,
    ) -> bool {
        match result {
            CallResult::Success => self.add_success(now, tuning),
            CallResult::ServerError => self.add_failure(1.0, 1.0, now, tuning),
            CallResult::ConnectFailed => {
                self.restart_suspected = true;
                self.add_failure(1.0, tuning.connect_weight, now, tuning);
            }
            CallResult::ConnectionLost => {
                // One crash or broken link ends every call in flight, and counts as one failure.
                if self.connection_lost_at.is_none_or(|lost_at| sent_at > lost_at) {
                    self.connection_lost_at = Some(now);
                    self.add_failure(1.0, 1.0, now, tuning);
                }
            }
            CallResult::TimedOut => {
                self.add_failure(tuning.timeout_weight, tuning.timeout_weight, now, tuning);
            }
            // A shed call is a sign of load, which `UpstreamRecord::record_shed` records, and not
            // of a fault.
            CallResult::Shed | CallResult::Cancelled => return false,
        }
        !self.is_ejected(now) && self.is_failing(now, tuning)
    }

    /// Records that data arrived directly from the server. The first contact after a connection
    /// attempt that failed means that it has restarted, and begins its slow start.
    pub fn record_contact(&mut self, now: ClockTime) {
        if std::mem::take(&mut self.restart_suspected) {
            self.start_ramp(now);
        }
    }

    fn add_success(&mut self, now: ClockTime, tuning: &RouteTuning) {
        self.decay(now, tuning);
        self.outcomes += 1.0;
        self.consecutive_failures = 0.0;
    }

    fn add_failure(
        &mut self,
        weight: f64,
        consecutive_weight: f64,
        now: ClockTime,
        tuning: &RouteTuning,
    ) {
        self.decay(now, tuning);
        self.outcomes += weight;
        self.failures += weight;
        self.consecutive_failures += consecutive_weight;
        self.failed_at = Some(self.failed_at.map_or(now, |before| before.max(now)));
    }

    fn decay(&mut self, now: ClockTime, tuning: &RouteTuning) {
        let weight = decay_weight(now.since(self.outcome_at), tuning.failure_decay);
        self.failures *= weight;
        self.outcomes *= weight;
        self.outcome_at = now.max(self.outcome_at);
    }

    /// Returns whether the outcomes reach a limit for ejection.
    pub fn is_failing(&self, now: ClockTime, tuning: &RouteTuning) -> bool {
        let limit = if self.ramp(now, tuning) < 1.0 {
            tuning.ramp_consecutive_failure_limit
        } else {
            tuning.consecutive_failure_limit
        };
        let rate = if self.outcomes > 0.0 { self.failures / self.outcomes } else { 0.0 };
        self.consecutive_failures >= limit
            || (self.outcomes >= tuning.failure_rate_min_outcomes
                && rate >= tuning.failure_rate_limit)
    }

    /// Ejects the server for a time that doubles with each ejection, and clears the outcomes that
    /// led to it.
    pub fn eject(&mut self, now: ClockTime, tuning: &RouteTuning, random: &mut RandomSource) {
        let is_reset =
            self.ejected_until.is_none_or(|until| now.since(until) > tuning.ejection_reset_time);
        self.ejections = if is_reset { 1 } else { self.ejections.saturating_add(1) };
        let doublings = (self.ejections - 1).min(MAX_DOUBLINGS);
        let span = tuning.ejection_base.scaled(f64::from(1_u32 << doublings));
        let jitter = 1.0 + tuning.ejection_jitter * (2.0 * random.unit() - 1.0);
        let until = now + span.min(tuning.ejection_max).scaled(jitter);
        self.ejected_until = Some(until);
        self.ramp_from = Some(until);
        self.clear_evidence();
    }

    /// Ends an ejection early and begins the slow start.
    pub fn readmit(&mut self, now: ClockTime) {
        self.ejected_until = Some(now);
        self.ramp_from = Some(now);
    }

    fn clear_evidence(&mut self) {
        self.consecutive_failures = 0.0;
        self.failures = 0.0;
        self.outcomes = 0.0;
    }

    /// Returns whether the server is ejected.
    pub fn is_ejected(&self, now: ClockTime) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Returns when the current or last ejection ends.
    pub fn ejected_until(&self) -> Option<ClockTime> {
        self.ejected_until
    }

    /// Returns the share of its normal calls that the server may get.
    pub fn ramp(&self, now: ClockTime, tuning: &RouteTuning) -> f64 {
        let Some(from) = self.ramp_from else { return 1.0 };
        if tuning.ramp_time == ClockSpan::ZERO {
            return 1.0;
        }
        let elapsed = now.since(from).as_millis_f64() / tuning.ramp_time.as_millis_f64();
        (tuning.ramp_floor + (1.0 - tuning.ramp_floor) * elapsed).min(1.0)
    }

    /// Returns the share of failures, biased towards zero while there are few outcomes.
    pub fn failure_rate(&self) -> f64 {
        self.failures / (self.outcomes + 1.0)
    }

    /// Returns when the last failure was recorded.
    pub fn failed_at(&self) -> Option<ClockTime> {
        self.failed_at
    }

    /// Returns when the failure rate last changed.
    pub fn outcome_at(&self) -> ClockTime {
        self.outcome_at
    }
}

/// The largest number of doublings, which keeps the factor on the ejection time within the range of
/// `u32`.
const MAX_DOUBLINGS: u32 = 16;
