//! The interface through which documents are validated. The caller of this crate implements it.

use std::fmt;

/// A problem of a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DocumentProblem {
    /// The path of the faulty element in the document.
    pub path: String,
    /// What is wrong.
    pub reason: String,
    /// How to correct it.
    pub remedy: String,
}

impl fmt::Display for DocumentProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}; {}", self.path, self.reason, self.remedy)
    }
}

/// Validates documents before they are stored.
pub trait DocumentCheck {
    /// Validates a whole document.
    ///
    /// # Errors
    ///
    /// Returns all problems that were found.
    fn check(&self, document: &[u8]) -> Result<(), Vec<DocumentProblem>>;
}
