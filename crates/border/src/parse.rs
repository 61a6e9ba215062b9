//! From bytes to the generated types.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::error::Category;
use snafu::{Snafu, ensure};

use crate::problem::{FieldPath, FieldProblem};

/// JSON that does not follow its schema.
#[derive(Debug, Snafu)]
pub enum ParseError {
    /// More bytes than are accepted.
    #[snafu(display("the input has {size} bytes; keep it within {limit} bytes"))]
    TooLarge {
        /// The size of the input.
        size: usize,
        /// The largest size that is accepted.
        limit: usize,
    },
    /// A syntax error, an unknown, missing or repeated field, or a value of the wrong type.
    #[snafu(display("{problem}"))]
    Malformed {
        /// The first problem. The parser cannot read past it.
        problem: FieldProblem,
    },
}

impl ParseError {
    /// Returns the error as a problem of a field.
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

/// What the parser accepts apart from the schema.
pub(crate) struct ParseLimits {
    /// The largest input, in bytes.
    pub(crate) size: usize,
    /// Top-level fields whose values never appear in messages.
    pub(crate) secret_fields: &'static [&'static str],
}

impl ParseLimits {
    /// Reads `bytes` as JSON that follows the schema of `T`.
    pub(crate) fn parse<T>(&self, bytes: &[u8]) -> Result<T, ParseError>
    where
        T: DeserializeOwned + Serialize,
    {
        let size = bytes.len();
        ensure!(size <= self.size, TooLargeSnafu { size, limit: self.size });
        // Messages about other roots would repeat values, and a list would put secrets under paths
        // that are not secret fields.
        if bytes.trim_ascii_start().first().is_some_and(|byte| *byte != b'{') {
            return Err(list_for_object(&FieldPath::default()));
        }
        let mut reader = serde_json::Deserializer::from_slice(bytes);
        let document: T = serde_path_to_error::deserialize(&mut reader)
            .map_err(|error| self.describe(&error.path().to_string(), error.inner()))?;
        reader.end().map_err(|error| self.describe(".", &error))?;
        check_shape(bytes, &document)?;
        Ok(document)
    }

    fn describe(&self, path: &str, error: &serde_json::Error) -> ParseError {
        let secret = self.secret_fields.iter().any(|field| path.starts_with(field));
        let (reason, remedy) = match error.classify() {
            Category::Data if secret => (
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

fn list_for_object(path: &FieldPath) -> ParseError {
    let problem = FieldProblem {
        path: path.to_string(),
        reason: "not written in the form that the schema names".to_owned(),
        remedy: "write objects with named fields, and names as plain strings".to_owned(),
    };
    ParseError::Malformed { problem }
}

/// Rejects JSON that only the deserializer accepts: serde reads a struct from a list of its fields
/// in order, and a name from an object with that one key.
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
        (Value::Array(_) | Value::Object(_), _) => Err(list_for_object(path)),
        _ => Ok(()),
    }
}
