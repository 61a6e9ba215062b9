//! `suspects`: lists the requests that any VM suspects of crashing upstreams.

use std::collections::BTreeMap;
use std::fmt;

use base::prelude::*;
use bpaf::Bpaf;
use serde::Serialize;
use suspect::prelude::*;

use crate::error::CtlError;
use crate::output::{OutputArguments, output_arguments};
use crate::poll::{self, PollArguments, poll_arguments};
use crate::release::{ReleaseArguments, release_arguments};
use crate::vm::ControlQuery;

/// The arguments of `suspects` and its subcommand.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub enum SuspectsArguments {
    /// Release a request on every VM
    #[bpaf(command("release"))]
    Release(#[bpaf(external(release_arguments))] ReleaseArguments),
    /// List the requests
    List(#[bpaf(external(list_arguments))] ListArguments),
}

/// The arguments of `suspects` without a subcommand.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct ListArguments {
    #[bpaf(external)]
    pub(crate) output_arguments: OutputArguments,
    #[bpaf(external)]
    poll_arguments: PollArguments,
}

/// A suspect, merged from the lists of the VMs.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct SuspectLine {
    /// The strictest status on any VM.
    standing: SuspectStatus,
    /// The upstreams that crashed.
    upstreams: Vec<SharedName>,
    /// The time since the newest crash, renewal, release or clearing on any VM, in milliseconds.
    age_ms: u64,
    /// The VMs that list the suspect.
    vms: Vec<SharedName>,
}

/// The suspects of all VMs, by fingerprint. Does no I/O.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Serialize)]
pub struct SuspectsReport {
    suspects: BTreeMap<String, SuspectLine>,
    /// The VMs that did not answer, and why.
    missing: BTreeMap<SharedName, String>,
}

impl SuspectsReport {
    /// Merges a suspect from the list of a VM.
    pub fn add(&mut self, vm: &SharedName, entry: SuspectEntry) {
        let SuspectEntry { fingerprint, standing, upstreams, age } = entry;
        let age_ms = age.to_duration().as_millis() as u64;
        let line = self.suspects.entry(format!("{fingerprint:016x}")).or_insert_with(|| {
            SuspectLine { standing, upstreams: Vec::new(), age_ms, vms: Vec::new() }
        });
        line.standing = line.standing.max(standing);
        line.age_ms = line.age_ms.min(age_ms);
        line.upstreams.extend(upstreams);
        line.upstreams.sort();
        line.upstreams.dedup();
        line.vms.push(vm.clone());
    }
}

impl fmt::Display for SuspectsReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.suspects.is_empty() {
            writeln!(formatter, "no suspects")?;
        }
        for (fingerprint, line) in &self.suspects {
            let SuspectLine { standing, upstreams, age_ms, vms } = line;
            let standing = match standing {
                SuspectStatus::Cleared => "cleared",
                SuspectStatus::Suspected => "suspected",
                SuspectStatus::Confirmed => "confirmed",
            };
            let seconds = age_ms / 1000;
            let upstreams =
                if upstreams.is_empty() { "none".to_owned() } else { upstreams.join(", ") };
            let vms = vms.join(", ");
            writeln!(
                formatter,
                "{fingerprint} {standing} {seconds} s ago, crashed: {upstreams}; listed by: {vms}"
            )?;
        }
        let missing = |(vm, reason)| writeln!(formatter, "{vm}: did not answer: {reason}");
        self.missing.iter().try_for_each(missing)
    }
}

/// Queries every VM for its suspects and merges the lists.
///
/// # Errors
///
/// Fails if there is no VM to query, or if the secret's file or the list of VMs cannot be read.
pub fn run(arguments: &ListArguments) -> Result<SuspectsReport, CtlError> {
    let request = |query: ControlQuery, address| async move { query.suspects(address).await };
    let answers = arguments.poll_arguments.query_all(request)?;
    let missing = poll::unanswered(&answers);
    let mut report = SuspectsReport { missing, ..SuspectsReport::default() };
    for (target, answer) in answers {
        for entry in answer.into_iter().flatten() {
            report.add(&target.name, entry);
        }
    }
    Ok(report)
}
