//! Parses JSON into the generated types and rejects JSON that does not follow its schema.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::error::Category;
use snafu::{Snafu, ensure};

use crate::problem::{FieldPath, FieldProblem};

/// JSON that does not follow its schema.
#[derive(Debug, Snafu)]
pub enum ParseError {
    /// The input has more bytes than the limit.
    #[snafu(display("the input has {size} bytes; keep it within {limit} bytes"))]
    TooLarge {
        /// The size of the input, in bytes.
        size: usize,
        /// The largest accepted size, in bytes.
        limit: usize,
    },
    /// A syntax error, an unknown, missing or repeated field, or a value of the wrong type.
    #[snafu(display("{problem}"))]
    Malformed {
        /// The first problem, at which the parser stops.
        problem: FieldProblem,
    },
}

impl ParseError {
    /// Returns the error as a problem with a field.
    pub fn to_problem(&self) -> FieldProblem {
        match self {
            Self::TooLarge { size, limit } => FieldProblem {
                path: ".".to_owned(),
                reason: format!("has {size} bytes"),
                remedy: format!("keep it within {limit} bytes"),
            },
            Self::Malformed { problem } => problem.clone(),
        }
    }
}

/// Limits of the parser that the schema does not state.
pub(crate) struct ParseLimits {
    /// The largest input, in bytes.
    pub(crate) size: usize,
    /// Top-level fields whose values must not appear in messages.
    pub(crate) secret_fields: &'static [&'static str],
}

impl ParseLimits {
    /// Parses `bytes` as JSON that follows the schema of `T`.
    ///
    /// # Errors
    ///
    /// Returns the first problem if the input is too large or does not follow the schema.
    pub(crate) fn parse<T>(&self, bytes: &[u8]) -> Result<T, ParseError>
    where
        T: DeserializeOwned + Serialize,
    {
        let size = bytes.len();
        ensure!(size <= self.size, TooLargeSnafu { size, limit: self.size });
        // The message about a root that is not an object would contain its value. If the root is a
        // list, the paths of the secrets in it are not among `secret_fields`.
        if bytes.trim_ascii_start().first().is_some_and(|byte| *byte != b'{') {
            return Err(shape_error(&FieldPath::default()));
        }
        let mut reader = serde_json::Deserializer::from_slice(bytes);
        let document: T = serde_path_to_error::deserialize(&mut reader)
            .map_err(|error| self.malformed(&error.path().to_string(), error.inner()))?;
        reader.end().map_err(|error| self.malformed(".", &error))?;
        check_shape(bytes, &document)?;
        Ok(document)
    }

    fn malformed(&self, path: &str, error: &serde_json::Error) -> ParseError {
        let is_secret = self.secret_fields.iter().any(|field| path.starts_with(field));
        let (reason, remedy) = match error.classify() {
            Category::Data if is_secret => (
                format!("not a list of strings, or repeated, at line {}", error.line()),
                "give one list of strings",
            ),
            Category::Data => (error.to_string(), "follow the field list in docs/configuration.md"),
            Category::Syntax | Category::Eof | Category::Io => {
                (error.to_string(), "correct the JSON at this place")
            }
        };
        let problem = FieldProblem { path: path.to_owned(), reason, remedy: remedy.to_owned() };
        ParseError::Malformed { problem }
    }
}

fn shape_error(path: &FieldPath) -> ParseError {
    let problem = FieldProblem {
        path: path.to_string(),
        reason: "not written in the form that the schema names".to_owned(),
        remedy: "write objects with named fields, and names as plain strings".to_owned(),
    };
    ParseError::Malformed { problem }
}

/// Rejects JSON that the deserializer accepts although the schema does not: serde reads a struct
/// from a list of its fields in order, and an enum value from an object with its name as the key.
fn check_shape<T: Serialize>(bytes: &[u8], document: &T) -> Result<(), ParseError> {
    let given = serde_json::from_slice(bytes).unwrap_or_default();
    let expected = serde_json::to_value(document).unwrap_or_default();
    compare_shapes(&given, &expected, &FieldPath::default())
}

fn compare_shapes(given: &Value, expected: &Value, path: &FieldPath) -> Result<(), ParseError> {
    match (given, expected) {
        (Value::Object(given), Value::Object(expected)) => expected
            .iter()
            .filter_map(|(name, value)| Some((name, given.get(name)?, value)))
            .try_for_each(|(name, given, value)| compare_shapes(given, value, &path.field(name))),
        (Value::Array(given), Value::Array(expected)) => {
            given.iter().zip(expected).enumerate().try_for_each(|(index, (given, value))| {
                compare_shapes(given, value, &path.item(index))
            })
        }
        (Value::Array(_) | Value::Object(_), _) => Err(shape_error(path)),
        _ => Ok(()),
    }
}
