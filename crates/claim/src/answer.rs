//! Answers that are stored for repeats (requests with a key that was used before).

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use store::digest::content_digest;

/// A complete HTTP response, as it is returned to a repeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers to repeat.
    pub headers: Vec<(SharedName, String)>,
    /// The complete body.
    pub body: Bytes,
}

/// Where the body of an answer is stored.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BodyLocation {
    /// In the row.
    Text(String),
    /// In the object store, under this digest.
    Object(SharedName),
}

/// An answer in the form in which a row stores it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AnswerRow {
    /// The HTTP status.
    pub status: u16,
    /// The headers to repeat.
    pub headers: Vec<(SharedName, String)>,
    /// Where the body is.
    pub body: BodyLocation,
}

impl StoredAnswer {
    /// Converts the answer to the form for a row. A body that has more than `inline_bytes` bytes or
    /// is not text goes to the object store.
    pub fn to_row(&self, inline_bytes: usize) -> AnswerRow {
        let text = std::str::from_utf8(&self.body).ok().filter(|_| self.body.len() <= inline_bytes);
        let body = match text {
            Some(text) => BodyLocation::Text(text.to_owned()),
            None => BodyLocation::Object(content_digest(&self.body)),
        };
        AnswerRow { status: self.status, headers: self.headers.clone(), body }
    }
}

impl AnswerRow {
    /// Returns the answer if its body is in the row.
    pub fn to_answer(&self) -> Option<StoredAnswer> {
        match &self.body {
            BodyLocation::Text(text) => Some(self.with_body(Bytes::from(text.clone()))),
            BodyLocation::Object(_) => None,
        }
    }

    /// Returns the answer with a body that was fetched.
    pub fn with_body(&self, body: Bytes) -> StoredAnswer {
        StoredAnswer { status: self.status, headers: self.headers.clone(), body }
    }

    /// Returns the digest of the body if it is in the object store.
    pub fn object(&self) -> Option<&SharedName> {
        match &self.body {
            BodyLocation::Text(_) => None,
            BodyLocation::Object(digest) => Some(digest),
        }
    }
}

/// An answer that was found for a repeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplayAnswer {
    /// The whole answer.
    Whole(Arc<StoredAnswer>),
    /// An answer whose body has to be fetched from the object store first.
    Stored(AnswerRow),
}

impl From<AnswerRow> for ReplayAnswer {
    fn from(row: AnswerRow) -> Self {
        match row.to_answer() {
            Some(answer) => Self::Whole(Arc::new(answer)),
            None => Self::Stored(row),
        }
    }
}
