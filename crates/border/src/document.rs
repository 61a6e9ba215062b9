//! Loads the environment document: parses it, checks it and builds the environment map.

use std::collections::HashMap;
use std::fmt::Write;

use base::prelude::*;
use sha2::{Digest, Sha256};
use snafu::Snafu;
use world::prelude::*;

use crate::centre::CentreTable;
use crate::coverage::check_coverage;
use crate::field;
use crate::generated::environment::EnvironmentDocument;
use crate::parse::{ParseError, ParseLimits};
use crate::problem::{FieldPath, FieldProblem, ProblemList, to_lines};
use crate::service::ServiceChecker;

/// The limits of the parser. A document of the target scale, 730 upstreams, has about 0.1 MiB.
const LIMITS: ParseLimits = ParseLimits { size: 1024 * 1024, secret_fields: &[] };
/// The most services.
const MAX_SERVICES: usize = 1_000;

/// A rejected environment document.
#[derive(Debug, Snafu)]
pub enum DocumentError {
    /// The bytes do not follow the schema.
    #[snafu(display("the document cannot be read: {source}"), context(false))]
    Parse {
        /// The first problem.
        source: ParseError,
    },
    /// The document follows the schema but contains contradictions or values out of range.
    #[snafu(display("correct these problems of the document:{}", to_lines(problems)))]
    Invalid {
        /// All problems.
        problems: Vec<FieldProblem>,
    },
}

impl DocumentError {
    /// Returns all problems that were found.
    pub fn to_problems(&self) -> Vec<FieldProblem> {
        match self {
            Self::Parse { source } => vec![source.to_problem()],
            Self::Invalid { problems } => problems.clone(),
        }
    }
}

/// Returns the environment map that a document describes.
///
/// # Errors
///
/// Returns an error with the first problem if the bytes do not follow the schema, or else with all
/// problems that the checks find. No part of a rejected document is returned.
pub fn load_document(bytes: &[u8], version: u64) -> Result<EnvironmentMap, DocumentError> {
    let document: EnvironmentDocument = LIMITS.parse(bytes)?;
    let mut problems = ProblemList::default();
    let map = check_document(&document, version, document_digest(bytes), &mut problems);
    problems.accept(Some(map)).map_err(|problems| DocumentError::Invalid { problems })
}

/// Returns the SHA-256 digest of the bytes in lower-case hexadecimal.
pub fn document_digest(bytes: &[u8]) -> SharedName {
    let mut text = String::with_capacity(2 * Sha256::output_size());
    for byte in Sha256::digest(bytes) {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    SharedName::from(text)
}

fn check_document(
    document: &EnvironmentDocument,
    version: u64,
    digest: SharedName,
    problems: &mut ProblemList,
) -> EnvironmentMap {
    let name = field::name(&FieldPath::top("name"), &document.name, problems);
    let mut centre_table = CentreTable::new(&document.data_centres, problems);
    let links = centre_table.links(&document.links, problems);

    let list = FieldPath::top("services");
    field::length(&list, document.services.len(), 1..=MAX_SERVICES, problems);
    let mut service_checker = ServiceChecker::new(&mut centre_table, problems);
    let mut contracts = Vec::with_capacity(document.services.len());
    let mut upstreams = HashMap::with_capacity(document.services.len());
    for (index, entry) in document.services.iter().enumerate() {
        let service = service_checker.check(&list.item(index), entry);
        upstreams.insert(service.contract.name.clone(), service.upstreams);
        contracts.push(service.contract);
    }

    if contracts.len() <= MAX_SERVICES {
        check_coverage(&contracts, problems);
    }
    centre_table.check_missing_links(&links, problems);
    let centres = centre_table.centres;
    EnvironmentMap {
        name,
        version,
        digest,
        centres,
        links,
        contracts,
        upstreams,
        routes: RouteTable::default(),
        caller_limits: CallerLimits::default(),
        access: Default::default(),
    }
}
