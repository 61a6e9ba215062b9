//! `check` and `check-settings`: check documents and settings without putting them into force.

use std::fmt;
use std::path::{Path, PathBuf};

use base::prelude::*;
use border::MapChange;
use bpaf::Bpaf;
use config::prelude::*;
use serde::Serialize;
use world::prelude::*;

use crate::error::CtlError;
use crate::file;
use crate::output::{OutputArguments, output_arguments};

/// The version number under which a document is checked. A document gets its own version only when
/// a change puts it into force.
const FILE_VERSION: u64 = 1;

/// The arguments of `check`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct CheckArguments {
    #[bpaf(external)]
    pub(crate) output_arguments: OutputArguments,
    /// List the differences from this document
    #[bpaf(long, argument("FILE"), optional)]
    against: Option<PathBuf>,
    /// The environment document, a JSON file
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// The arguments of `check-settings`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct SettingsArguments {
    #[bpaf(external)]
    pub(crate) output_arguments: OutputArguments,
    /// The settings of a gateway process, a JSON file
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// The report on a valid document.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct CheckReport {
    environment: SharedName,
    digest: SharedName,
    services: usize,
    upstreams: usize,
    /// Differences from the document of `--against`, if one was named.
    changes: Option<Vec<String>>,
}

impl CheckReport {
    fn new(map: &EnvironmentMap, other: Option<&EnvironmentMap>) -> Self {
        let describe = |changes: Vec<MapChange>| changes.iter().map(ToString::to_string).collect();
        Self {
            environment: map.name.clone(),
            digest: map.digest.clone(),
            services: map.contracts.len(),
            upstreams: map.upstreams.values().map(Vec::len).sum(),
            changes: other.map(|other| describe(border::difference(other, map))),
        }
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { environment, digest, services, upstreams, changes } = self;
        writeln!(formatter, "valid: {environment}, {services} services, {upstreams} upstreams")?;
        writeln!(formatter, "digest: {digest}")?;
        match changes.as_deref() {
            None => Ok(()),
            Some([]) => writeln!(formatter, "no differences"),
            Some(changes) => changes.iter().try_for_each(|change| writeln!(formatter, "{change}")),
        }
    }
}

/// The report on valid settings.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct SettingsReport {
    vm: SharedName,
    centre: SharedName,
}

impl fmt::Display for SettingsReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "valid: settings of {} in {}", self.vm, self.centre)
    }
}

/// Checks a document and lists its differences from another one.
///
/// # Errors
///
/// Fails if a file cannot be read, or with all problems of a document.
pub fn check(arguments: &CheckArguments) -> Result<CheckReport, CtlError> {
    let map = load_file(&arguments.file)?;
    let other = arguments.against.as_deref().map(load_file).transpose()?;
    Ok(CheckReport::new(&map, other.as_ref()))
}

/// Checks the settings of a gateway process.
///
/// # Errors
///
/// Fails if the file cannot be read, or with all problems of the settings.
pub fn check_settings(arguments: &SettingsArguments) -> Result<SettingsReport, CtlError> {
    let path = &arguments.file;
    let settings = border::load_settings(&file::read(path)?).map_err(|error| {
        CtlError::Rejected { path: path.clone(), problems: error.to_problems() }
    })?;
    Ok(SettingsReport { vm: settings.vm_name, centre: settings.centre })
}

/// Reads and checks a document.
///
/// # Errors
///
/// Fails if the file cannot be read, or with all problems of the document.
pub fn load_file(path: &Path) -> Result<EnvironmentMap, CtlError> {
    border::load_document(&file::read(path)?, FILE_VERSION)
        .map_err(|error| CtlError::Rejected { path: path.into(), problems: error.to_problems() })
}

/// Checks documents before a change, with the rules of the crate `border`.
#[derive(Clone, Copy, Debug)]
pub struct BorderCheck;

impl DocumentCheck for BorderCheck {
    fn check(&self, document: &[u8]) -> Result<(), Vec<DocumentProblem>> {
        let checked = border::load_document(document, FILE_VERSION);
        checked.map(drop).map_err(|error| {
            let to_problem = |problem: border::FieldProblem| {
                let border::FieldProblem { path, reason, remedy } = problem;
                DocumentProblem { path, reason, remedy }
            };
            error.to_problems().into_iter().map(to_problem).collect()
        })
    }
}
