//! Reads log lines of the gateway.

use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Event of a process that starts, with the name of its VM.
const START_EVENT: u64 = 1001;

/// A line of the log.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct LogLine {
    /// The time in microseconds since the Unix epoch.
    #[serde(skip)]
    pub at_micros: u64,
    /// The time as it was logged.
    pub timestamp: String,
    /// The level.
    pub level: String,
    /// The number of the event.
    pub event: u64,
    /// The text.
    pub message: String,
    /// The other fields.
    pub fields: BTreeMap<String, Value>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct JsonLine {
    timestamp: String,
    level: String,
    fields: BTreeMap<String, Value>,
}

impl LogLine {
    /// Parses a line in JSON or text format. Returns `None` for lines that are not the gateway's or
    /// have no event.
    pub fn parse(line: &str) -> Option<Self> {
        let line = line.trim();
        if line.starts_with('{') { Self::parse_json(line) } else { Self::parse_text(line) }
    }

    fn parse_json(line: &str) -> Option<Self> {
        let JsonLine { timestamp, level, fields } = serde_json::from_str(line).ok()?;
        Self::from_fields(timestamp, level, fields)
    }

    /// The text format is `TIME LEVEL TARGET: MESSAGE NAME=VALUE ...`, with quoted strings and
    /// unquoted values that may contain spaces. An unquoted value that contains ` NAME=` itself
    /// cannot be distinguished from two fields; the JSON format has no such case.
    fn parse_text(line: &str) -> Option<Self> {
        let (timestamp, rest) = line.split_once(char::is_whitespace)?;
        let (level, rest) = rest.trim_start().split_once(char::is_whitespace)?;
        let (_target, rest) = rest.trim_start().split_once(": ")?;
        let mut fields = BTreeMap::new();
        let (message, mut rest) = split_at_field(rest);
        fields.insert("message".to_owned(), Value::from(message));
        while let Some((name, tail)) = rest.trim_start().split_once('=') {
            let (value, after) = read_value(tail);
            fields.insert(name.to_owned(), value);
            rest = after;
        }
        Self::from_fields(timestamp.to_owned(), level.to_owned(), fields)
    }

    fn from_fields(
        timestamp: String,
        level: String,
        mut fields: BTreeMap<String, Value>,
    ) -> Option<Self> {
        let at = humantime::parse_rfc3339(&timestamp).ok()?;
        let at_micros = micros(at)?;
        let event = fields.remove("event")?.as_u64()?;
        let message = fields.remove("message");
        let message = message.as_ref().and_then(Value::as_str).unwrap_or_default().to_owned();
        Some(Self { at_micros, timestamp, level, event, message, fields })
    }

    /// Returns a field as text, or an empty string if there is none.
    pub fn text(&self, name: &str) -> String {
        match self.fields.get(name) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        }
    }

    /// Returns a field as a number, or `None` if there is none or it is not a number.
    pub fn number(&self, name: &str) -> Option<f64> {
        self.fields.get(name)?.as_f64()
    }
}

fn micros(at: SystemTime) -> Option<u64> {
    u64::try_from(at.duration_since(UNIX_EPOCH).ok()?.as_micros()).ok()
}

/// Splits before the first ` name=`.
fn split_at_field(text: &str) -> (&str, &str) {
    let mut start = 0;
    for word in text.split(' ') {
        let name = word.split_once('=').map(|(name, _)| name);
        if name.is_some_and(is_name) {
            return (text[..start].trim_end(), &text[start..]);
        }
        start += word.len() + 1;
    }
    (text, "")
}

fn is_name(text: &str) -> bool {
    let mut letters = text.chars();
    letters.next().is_some_and(|first| first.is_ascii_lowercase())
        && letters
            .all(|letter| letter.is_ascii_lowercase() || letter.is_ascii_digit() || letter == '_')
}

/// Parses a value and returns it with the rest of the line.
fn read_value(text: &str) -> (Value, &str) {
    if text.starts_with('"') {
        let mut values = serde_json::Deserializer::from_str(text).into_iter::<String>();
        if let Some(Ok(value)) = values.next() {
            return (Value::from(value), &text[values.byte_offset()..]);
        }
    }
    let (value, rest) = split_at_field(text);
    (serde_json::from_str(value).unwrap_or_else(|_| Value::from(value)), rest)
}

/// The log of one VM.
#[derive(Clone, Debug, Default)]
pub struct LogSource {
    /// Name of the input that it was read from.
    pub name: String,
    /// The lines, ordered by time.
    pub lines: Vec<LogLine>,
}

impl LogSource {
    /// Reads the logs of one VM, or of several in succession. The start event of another VM begins
    /// another log.
    pub fn read(name: &str, text: &str) -> Vec<Self> {
        let mut sources = vec![Self { name: name.to_owned(), lines: Vec::new() }];
        let mut vm = None;
        for line in text.lines().filter_map(LogLine::parse) {
            if line.event == START_EVENT {
                let started = Some(line.text("vm"));
                if vm.is_some() && vm != started {
                    sources.push(Self { name: name.to_owned(), lines: Vec::new() });
                }
                vm = started;
            }
            if let Some(source) = sources.last_mut() {
                source.lines.push(line);
            }
        }
        for source in &mut sources {
            source.lines.sort_by_key(|line| line.at_micros);
        }
        sources
    }
}
