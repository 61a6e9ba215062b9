//! The report of a run, printed as a table or as JSON.

use std::fmt;

use base::prelude::*;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::plan::LoadPlan;
use crate::tally::{CallEnd, KindTally};

/// Percentiles of a latency in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LatencyFigures {
    /// Median.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Maximum.
    pub max_ms: f64,
    /// Mean.
    pub mean_ms: f64,
}

impl From<&Histogram<u64>> for LatencyFigures {
    fn from(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self {
            p50_ms: at(0.5),
            p90_ms: at(0.9),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            max_ms: histogram.max() as f64 / 1000.0,
            mean_ms: histogram.mean() / 1000.0,
        }
    }
}

/// Calls that did not end with the expected answer, by their end.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ErrorCounts {
    /// Answers with the nonce of another call, or without one.
    pub wrong_nonce: u64,
    /// Bodies of the wrong length.
    pub short_body: u64,
    /// Unexpected statuses.
    pub wrong_status: u64,
    /// Refused, with the statement that the call was not run.
    pub not_run: u64,
    /// Answered with the statement that the outcome is unknown.
    pub unknown: u64,
    /// No complete answer before the timeout.
    pub timed_out: u64,
    /// Connection not opened, or broken before the answer.
    pub connection_error: u64,
    /// Not sent in time because every connection was in use.
    pub unsent: u64,
}

impl ErrorCounts {
    /// Returns the number of all errors.
    pub fn total(&self) -> u64 {
        self.wrong_nonce
            + self.short_body
            + self.wrong_status
            + self.not_run
            + self.unknown
            + self.timed_out
            + self.connection_error
            + self.unsent
    }
}

/// The figures of all calls, or of the calls of one kind or class.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RowFigures {
    /// The name of the kind or class, or `all`.
    pub name: SharedName,
    /// Calls whose intended time lies within the measured time.
    pub intended: u64,
    /// Calls that were sent.
    pub sent: u64,
    /// Calls that were sent more than 1 ms after their intended time.
    pub late: u64,
    /// Calls that ended with the expected answer.
    pub good: u64,
    /// Good calls per second of the measured time.
    pub goodput: f64,
    /// Calls that did not end with the expected answer.
    pub errors: ErrorCounts,
    /// Latency of good calls, from the intended time.
    pub latency: LatencyFigures,
    /// Latency of all calls, from the intended time.
    pub latency_all: LatencyFigures,
    /// Time from the intended to the actual sending.
    pub send_delay: LatencyFigures,
}

impl RowFigures {
    fn new(name: SharedName, tally: &KindTally, seconds: f64) -> Self {
        let count = |end: CallEnd| tally.ends[end as usize];
        let errors = ErrorCounts {
            wrong_nonce: count(CallEnd::WrongNonce),
            short_body: count(CallEnd::ShortBody),
            wrong_status: count(CallEnd::WrongStatus),
            not_run: count(CallEnd::NotRun),
            unknown: count(CallEnd::Unknown),
            timed_out: count(CallEnd::TimedOut),
            connection_error: count(CallEnd::ConnectionError),
            unsent: count(CallEnd::Unsent),
        };
        let good = count(CallEnd::Good);
        let intended = good + errors.total();
        Self {
            name,
            intended,
            sent: intended - errors.unsent,
            late: tally.late,
            good,
            goodput: if seconds > 0.0 { good as f64 / seconds } else { 0.0 },
            errors,
            latency: LatencyFigures::from(&tally.good),
            latency_all: LatencyFigures::from(&tally.all),
            send_delay: LatencyFigures::from(&tally.delay),
        }
    }
}

/// The results of a run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadReport {
    /// The measured time in seconds.
    pub seconds: f64,
    /// All calls.
    pub overall: RowFigures,
    /// The calls of each kind.
    pub kinds: Vec<RowFigures>,
    /// The calls of each class.
    pub classes: Vec<RowFigures>,
}

impl LoadReport {
    /// Returns the report of a plan whose kinds have these tallies.
    pub fn new(plan: &LoadPlan, tallies: &[KindTally]) -> Self {
        let seconds = plan.duration_ms as f64 / 1000.0;
        let mut overall = KindTally::new();
        let mut classes: Vec<(SharedName, KindTally)> = Vec::new();
        for (kind, tally) in plan.mix.iter().zip(tallies) {
            overall.merge(tally);
            match classes.iter_mut().find(|(class, _)| *class == kind.class) {
                Some((_, total)) => total.merge(tally),
                None => classes.push((kind.class.clone(), tally.clone())),
            }
        }
        let row = |name: &SharedName, tally| RowFigures::new(name.clone(), tally, seconds);
        Self {
            seconds,
            overall: row(&SharedName::from("all"), &overall),
            kinds: plan.mix.iter().zip(tallies).map(|(kind, t)| row(&kind.name, t)).collect(),
            classes: classes.iter().map(|(class, tally)| row(class, tally)).collect(),
        }
    }

    /// Returns the report as one line of JSON.
    ///
    /// # Panics
    ///
    /// Does not panic in practice, since numbers and names always have a JSON form.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("the report consists of numbers and names")
    }

    fn rows(&self) -> impl Iterator<Item = &RowFigures> {
        std::iter::once(&self.overall).chain(&self.kinds)
    }
}

const HEADINGS: [&str; 16] = [
    "kind", "intended", "good", "good/s", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "max ms",
    "late", "unsent", "not run", "unknown", "timeout", "connect", "wrong",
];

impl fmt::Display for LoadReport {
    /// Writes an aligned table. The column `wrong` is the sum of wrong nonces, bodies and statuses.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = vec![HEADINGS.map(str::to_owned)];
        table.extend(self.rows().map(cells));
        let width = |column: usize| {
            table.iter().map(|row| row[column].chars().count()).max().unwrap_or_default()
        };
        let widths: [usize; HEADINGS.len()] = std::array::from_fn(width);
        for row in &table {
            for (column, cell) in row.iter().enumerate() {
                let width = widths[column];
                match column {
                    0 => write!(formatter, "{cell:<width$}")?,
                    _ => write!(formatter, "  {cell:>width$}")?,
                }
            }
            writeln!(formatter)?;
        }
        Ok(())
    }
}

fn cells(row: &RowFigures) -> [String; HEADINGS.len()] {
    let (latency, errors) = (&row.latency, &row.errors);
    let millis = |value: f64| format!("{value:.2}");
    [
        row.name.to_string(),
        row.intended.to_string(),
        row.good.to_string(),
        format!("{:.1}", row.goodput),
        millis(latency.p50_ms),
        millis(latency.p90_ms),
        millis(latency.p99_ms),
        millis(latency.p999_ms),
        millis(latency.max_ms),
        row.late.to_string(),
        errors.unsent.to_string(),
        errors.not_run.to_string(),
        errors.unknown.to_string(),
        errors.timed_out.to_string(),
        errors.connection_error.to_string(),
        (errors.wrong_nonce + errors.short_body + errors.wrong_status).to_string(),
    ]
}
