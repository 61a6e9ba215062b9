//! `suspects release`: lets a request that was suspected of crashing upstreams run again.

use std::collections::BTreeMap;
use std::fmt;

use base::prelude::*;
use bpaf::Bpaf;
use serde::Serialize;

use crate::error::{CtlError, CtlExit};
use crate::output::{OutputArguments, output_arguments};
use crate::poll::{self, PollArguments, poll_arguments};
use crate::vm::{ControlQuery, VmError};

/// The arguments of `suspects release`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct ReleaseArguments {
    #[bpaf(external)]
    pub(crate) output_arguments: OutputArguments,
    #[bpaf(external)]
    poll_arguments: PollArguments,
    /// Fingerprint of the request, in hexadecimal as listed by suspects
    #[bpaf(positional::<String>("FINGERPRINT"), parse(parse_fingerprint))]
    fingerprint: u64,
}

fn parse_fingerprint(text: String) -> Result<u64, &'static str> {
    const RULE: &str =
        "a fingerprint has 16 hexadecimal digits; copy it from the output of suspects";
    // A shortened fingerprint would be parsed as the fingerprint of another request.
    let valid = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !valid {
        return Err(RULE);
    }
    u64::from_str_radix(&text, 16).map_err(|_| RULE)
}

/// The VMs that released the request, and those that did not confirm it.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct ReleaseReport {
    fingerprint: String,
    released: Vec<SharedName>,
    /// The VMs that did not confirm it, and why.
    missing: BTreeMap<SharedName, String>,
    /// Whether a VM may have released the request although its confirmation is missing.
    unclear: bool,
}

impl ReleaseReport {
    /// Returns the exit code: success if every VM confirmed the release, unconfirmed if some did.
    /// If none did, the code is unclear if a VM may have released the request, and otherwise
    /// failed.
    pub fn to_exit(&self) -> CtlExit {
        match (self.released.is_empty(), self.missing.is_empty()) {
            (_, true) => CtlExit::Success,
            (false, false) => CtlExit::Unconfirmed,
            (true, false) if self.unclear => CtlExit::Unclear,
            (true, false) => CtlExit::Failed,
        }
    }
}

impl fmt::Display for ReleaseReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fingerprint = &self.fingerprint;
        for vm in &self.released {
            writeln!(formatter, "{vm}: released {fingerprint}")?;
        }
        let missing = |(vm, reason)| writeln!(formatter, "{vm}: did not answer: {reason}");
        self.missing.iter().try_for_each(missing)
    }
}

/// Releases the request on every VM.
///
/// # Errors
///
/// Fails if there is no VM to query, or if the secret's file or the list of VMs cannot be read.
pub fn run(arguments: &ReleaseArguments) -> Result<ReleaseReport, CtlError> {
    let fingerprint = arguments.fingerprint;
    let request = move |query: ControlQuery, address| async move {
        query.release(address, fingerprint).await
    };
    let answers = arguments.poll_arguments.query_all(request)?;
    let missing = poll::unanswered(&answers);
    let unclear = answers.iter().any(|(_, answer)| matches!(answer, Err(VmError::NoAnswer { .. })));
    let released = answers.into_iter().filter(|(_, answer)| answer.is_ok());
    let released = released.map(|(target, _)| target.name).collect();
    Ok(ReleaseReport { fingerprint: format!("{fingerprint:016x}"), released, missing, unclear })
}
