//! Explains one call from the log lines of the VMs.

use std::fmt;

use serde::Serialize;

use crate::cause::CallCause;
use crate::line::{LogLine, LogSource};

/// A call was classified. Section 10.1 of `docs/design.md` lists the events of calls.
pub const CLASSIFIED_EVENT: u64 = 1030;
/// An upstream was chosen for an attempt.
pub const CHOSEN_EVENT: u64 = 1031;
/// An attempt ended.
pub const ATTEMPT_EVENT: u64 = 1032;
/// A call ended.
pub const ENDED_EVENT: u64 = 1033;

/// State lines are shown from this long before a call. Section 10.2 of `docs/design.md`.
const STATE_WINDOW_MICROS: u64 = 10_000_000;
/// Events about the state of one upstream.
const UPSTREAM_EVENTS: [u64; 9] = [1006, 1043, 1201, 1202, 1203, 1204, 1205, 1206, 1401];
/// Events about the state of the VM: configuration, pause, log, dependencies and claims.
const VM_EVENTS: [u64; 7] = [1017, 1025, 1040, 1041, 1042, 1501, 1502];
/// The event for refusals of a service.
const OVERLOAD_EVENT: u64 = 1301;

/// What the log of one VM holds about a call.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct CallExplanation {
    /// The id of the call.
    pub id: String,
    /// The VM that accepted it.
    pub vm: String,
    /// The log that holds it.
    pub source: String,
    /// State of the VM that is relevant to the call, from 10 s before it.
    pub state: Vec<LogLine>,
    /// The lines of the call.
    pub lines: Vec<LogLine>,
    /// Why the call ended, or `None` if its last line is missing.
    pub cause: Option<CallCause>,
    /// The cause and what an operator can do about it.
    pub conclusion: String,
}

/// Returns an explanation from each log that holds the call. If a caller used its id twice, several
/// logs can hold it.
pub fn explain(id: &str, sources: &[LogSource]) -> Vec<CallExplanation> {
    sources.iter().filter_map(|source| CallExplanation::from_source(id, source)).collect()
}

impl CallExplanation {
    fn from_source(id: &str, source: &LogSource) -> Option<Self> {
        let is_own = |line: &&LogLine| {
            (CLASSIFIED_EVENT..=ENDED_EVENT).contains(&line.event) && line.text("id") == id
        };
        let lines: Vec<_> = source.lines.iter().filter(is_own).cloned().collect();
        let last = lines.last()?;
        let ended = lines.iter().rfind(|line| line.event == ENDED_EVENT);
        let cause = ended.and_then(|line| line.text("cause").parse().ok());
        let vm = ended.map_or_else(String::new, |line| line.text("vm"));
        let total_ms = ended.and_then(|line| line.number("total_ms")).unwrap_or(0.0);
        // The lines of a call are written at its end.
        let start = last.at_micros.saturating_sub((total_ms * 1e3) as u64);
        let from = start.saturating_sub(STATE_WINDOW_MICROS);
        let window =
            source.lines.iter().filter(|line| (from..=last.at_micros).contains(&line.at_micros));
        let state = window.filter(|line| is_relevant(line, &lines)).cloned().collect();
        let conclusion = conclude(cause, &lines);
        let source = source.name.clone();
        Some(Self { id: id.to_owned(), vm, source, state, lines, cause, conclusion })
    }
}

/// Returns whether a state line is relevant to a call. A line about an upstream is relevant if the
/// call used that upstream or none at all.
fn is_relevant(line: &LogLine, call: &[LogLine]) -> bool {
    if VM_EVENTS.contains(&line.event) {
        return true;
    }
    if line.event == OVERLOAD_EVENT {
        return call.iter().any(|own| {
            own.event == CLASSIFIED_EVENT && own.text("service") == line.text("service")
        });
    }
    let mut chosen = call.iter().filter(|own| own.event == CHOSEN_EVENT).peekable();
    UPSTREAM_EVENTS.contains(&line.event)
        && (chosen.peek().is_none()
            || chosen.any(|own| own.text("upstream") == line.text("upstream")))
}

fn conclude(cause: Option<CallCause>, lines: &[LogLine]) -> String {
    let Some(cause) = cause else {
        return "the end of the call is missing in this log; look for dropped lines (event 1040)"
            .to_owned();
    };
    let attempt = lines.iter().rfind(|line| [CHOSEN_EVENT, ATTEMPT_EVENT].contains(&line.event));
    let upstream = attempt.map(|line| line.text("upstream")).filter(|name| !name.is_empty());
    let place = upstream.map_or_else(String::new, |name| format!(" (upstream {name})"));
    format!("{cause}: {}{place}; {}", cause.description(), cause.remedy())
}

impl fmt::Display for CallExplanation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "call {} on VM {} ({})", self.id, self.vm, self.source)?;
        writeln!(formatter, "state of the VM, from 10 s before the call on:")?;
        for line in &self.state {
            writeln!(formatter, "  {} {} {}", line.timestamp, line.event, StateText(line))?;
        }
        if self.state.is_empty() {
            writeln!(formatter, "  nothing relevant to the call")?;
        }
        writeln!(formatter, "the call:")?;
        for line in &self.lines {
            writeln!(formatter, "  {}", StepText(line))?;
        }
        writeln!(formatter, "cause: {}", self.conclusion)
    }
}

/// A line about the state of the VM.
struct StateText<'a>(&'a LogLine);

impl fmt::Display for StateText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0.message)?;
        for name in self.0.fields.keys() {
            write!(formatter, " {name}={}", self.0.text(name))?;
        }
        Ok(())
    }
}

/// Returns why a call could leave the data centre of its VM.
fn remote_text(reason: &str) -> &'static str {
    match reason {
        "home" => "not used",
        "share" => "used, as the upstreams at home are too busy for all calls",
        "slow" => "used, as the best upstream at home is much slower",
        "no_room" => "used, as no upstream at home can take the call",
        _ => "used by cost",
    }
}

/// Formats a number with at most two decimals.
fn rounded(number: f64) -> String {
    let text = format!("{number:.2}");
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

/// A line of a call, in words.
struct StepText<'a>(&'a LogLine);

impl fmt::Display for StepText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let line = self.0;
        let text = |name| line.text(name);
        // A field that the line may omit.
        let known = |name| if line.fields.contains_key(name) { text(name) } else { "-".to_owned() };
        let number = |name| line.number(name).map_or_else(|| "-".to_owned(), rounded);
        match line.event {
            CLASSIFIED_EVENT => write!(
                formatter,
                "classified as {} of {} (idempotent: {}) by configuration {}; {} ms allowed, \
                 objective {} ms, fingerprint {}",
                text("class"),
                text("service"),
                text("idempotent"),
                text("version"),
                number("deadline_ms"),
                number("objective_ms"),
                text("fingerprint"),
            ),
            CHOSEN_EVENT => write!(
                formatter,
                "attempt {} chose {} of {} after {} ms: cost {} ms, {}, pace {}, {} own and {} other \
                 calls, checked: {}, other data centres: {}",
                text("attempt"),
                text("upstream"),
                text("candidates"),
                number("waited_ms"),
                number("cost_ms"),
                line.number("age_ms").map_or_else(
                    || "no report of its load yet".to_owned(),
                    |age| format!("last report {} ms old", rounded(age)),
                ),
                number("pace"),
                number("own"),
                number("others"),
                text("checked"),
                remote_text(&text("remote")),
            ),
            ATTEMPT_EVENT => {
                write!(
                    formatter,
                    "attempt {} at {} ended {} ms after the start: {} (fate: {}); next: {}",
                    text("attempt"),
                    known("upstream"),
                    number("after_ms"),
                    text("result"),
                    known("fate"),
                    text("next"),
                )?;
                match line.fields.contains_key("why") {
                    true => write!(formatter, " ({})", text("why")),
                    false => Ok(()),
                }
            }
            _ => {
                // A caller that closed its connection got no answer.
                let status = line.fields.contains_key("status").then(|| text("status"));
                let status = status.unwrap_or_else(|| "no answer".to_owned());
                let (total, attempts) = (number("total_ms"), text("attempts"));
                write!(
                    formatter,
                    "the caller got {status} after {total} ms and {attempts} attempts (fate: {}",
                    known("fate"),
                )?;
                if let Some(span) = line.number("retry_after_ms") {
                    write!(formatter, ", to repeat after {} ms", rounded(span))?;
                }
                formatter.write_str(")")
            }
        }
    }
}
