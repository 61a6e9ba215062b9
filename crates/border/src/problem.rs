//! Problems that the checks find, with the JSON paths of the fields.

use std::fmt;

/// The longest part of a value that a message contains, in characters.
const MAX_QUOTED_CHARS: usize = 80;

/// A problem with one field.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FieldProblem {
    /// The JSON path of the field, such as `services[0].rules[2].method`; `.` is the whole
    /// document.
    pub path: String,
    /// Why the field is rejected.
    pub reason: String,
    /// How to correct the field.
    pub remedy: String,
}

impl fmt::Display for FieldProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}; {}", self.path, self.reason, self.remedy)
    }
}

/// The JSON path of a field.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct FieldPath(String);

impl FieldPath {
    /// Returns the path of a top-level field.
    pub(crate) fn top(name: &str) -> Self {
        Self(name.to_owned())
    }

    /// Returns the path of the field `name` of the object at this path.
    pub(crate) fn field(&self, name: &str) -> Self {
        if self.0.is_empty() { Self::top(name) } else { Self(format!("{}.{name}", self.0)) }
    }

    /// Returns the path of the element `index` of the list at this path.
    pub(crate) fn item(&self, index: usize) -> Self {
        Self(format!("{}[{index}]", self.0))
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(if self.0.is_empty() { "." } else { &self.0 })
    }
}

/// Collects the problems that the checks find.
#[derive(Debug, Default)]
pub(crate) struct ProblemList {
    problems: Vec<FieldProblem>,
}

impl ProblemList {
    /// Adds a problem.
    pub(crate) fn report(
        &mut self,
        path: &FieldPath,
        reason: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        let (path, reason, remedy) = (path.to_string(), reason.into(), remedy.into());
        self.problems.push(FieldProblem { path, reason, remedy });
    }

    /// Returns `value` if it is present and no problem was found.
    ///
    /// # Errors
    ///
    /// Returns all problems otherwise.
    pub(crate) fn accept<T>(self, value: Option<T>) -> Result<T, Vec<FieldProblem>> {
        match value {
            Some(value) if self.problems.is_empty() => Ok(value),
            _ => Err(self.problems),
        }
    }
}

/// Returns the problems as indented lines, each after a line break.
pub(crate) fn to_lines(problems: &[FieldProblem]) -> String {
    problems.iter().map(|problem| format!("\n  {problem}")).collect()
}

/// Returns `text` in quotes, escaped and shortened for a message.
pub(crate) fn quoted(text: &str) -> String {
    match text.char_indices().nth(MAX_QUOTED_CHARS) {
        Some((end, _)) => format!("{:?}...", &text[..end]),
        None => format!("{text:?}"),
    }
}
