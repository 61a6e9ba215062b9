//! Validation of documents, which is done elsewhere.

use std::fmt;

/// Something that is wrong with a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DocumentProblem {
    /// Where it is.
    pub path: String,
    /// What is wrong.
    pub reason: String,
    /// What to do about it.
    pub remedy: String,
}

impl fmt::Display for DocumentProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}; {}", self.path, self.reason, self.remedy)
    }
}

/// Checks documents before they are stored.
pub trait DocumentCheck {
    /// Checks a whole document.
    ///
    /// # Errors
    ///
    /// Returns everything that is wrong with it.
    fn check(&self, document: &[u8]) -> Result<(), Vec<DocumentProblem>>;
}
