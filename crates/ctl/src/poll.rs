//! Queries all VMs of an environment at once.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;

use base::prelude::*;
use bpaf::Bpaf;
use store::prelude::*;
use tokio::task::JoinSet;

use crate::error::CtlError;
use crate::operator;
use crate::output;
use crate::vm::{ControlQuery, VmError};

/// The options for commands that query all VMs.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct PollArguments {
    /// Address of the platform, which lists the VMs
    #[bpaf(long, env("AGATECTL_PLATFORM"), argument("ADDRESS"), optional)]
    platform: Option<SocketAddr>,
    /// Control address of a VM to query instead of those on the platform's list; can be repeated
    #[bpaf(long("vm"), argument("ADDRESS"), many)]
    vms: Vec<SocketAddr>,
    /// File with the operators' secret of the gateways
    #[bpaf(long, env("AGATECTL_SECRET_FILE"), argument("FILE"), optional)]
    secret_file: Option<PathBuf>,
}

/// A VM to query.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PollTarget {
    /// The name of the VM, or its address if the VM is not from the platform's list.
    pub name: SharedName,
    /// The control address of the VM.
    pub address: SharedName,
    /// Whether the VM has announced that it is shutting down.
    pub leaving: bool,
}

impl From<MemberEntry> for PollTarget {
    fn from(member: MemberEntry) -> Self {
        let MemberEntry { name, peer_address, leaving, .. } = member;
        Self { name, address: peer_address, leaving }
    }
}

impl From<SocketAddr> for PollTarget {
    fn from(address: SocketAddr) -> Self {
        let name = SharedName::from(address.to_string());
        Self { name: name.clone(), address: name, leaving: false }
    }
}

/// The answer of each VM, or the reason why it is missing.
pub type PollAnswers<T> = Vec<(PollTarget, Result<T, VmError>)>;

impl PollArguments {
    /// Queries every VM once, all at the same time, and returns the answers in order of name.
    ///
    /// # Errors
    ///
    /// Fails if there is no VM to query, or if the secret's file or the list of VMs cannot be read.
    pub fn query_all<T, F>(
        &self,
        request: impl Fn(ControlQuery, SocketAddr) -> F,
    ) -> Result<PollAnswers<T>, CtlError>
    where
        T: Send + 'static,
        F: Future<Output = Result<T, VmError>> + Send + 'static,
    {
        let query = ControlQuery::from_file(self.secret_file.as_deref())?;
        operator::runtime()?.block_on(async {
            let targets = self.to_targets().await?;
            let mut requests = JoinSet::new();
            for target in targets {
                let response =
                    target.address.parse().map(|address| request(query.clone(), address));
                requests.spawn(async move {
                    let answer = match response {
                        Ok(answer) => answer.await,
                        Err(_) => Err(VmError::Address { address: target.address.clone() }),
                    };
                    (target, answer)
                });
            }
            let mut answers = requests.join_all().await;
            answers.sort_by(|(one, _), (other, _)| one.name.cmp(&other.name));
            Ok(answers)
        })
    }

    async fn to_targets(&self) -> Result<Vec<PollTarget>, CtlError> {
        if !self.vms.is_empty() {
            return Ok(self.vms.iter().copied().map(PollTarget::from).collect());
        }
        let platform = self.platform.ok_or(CtlError::NoVms)?;
        let list = operator::connect(platform).members().await?;
        if list.members.is_empty() {
            return Err(CtlError::NoVms);
        }
        Ok(list.members.into_iter().map(PollTarget::from).collect())
    }
}

/// Returns the VMs that did not answer, each with the reason.
pub fn unanswered<T>(answers: &PollAnswers<T>) -> BTreeMap<SharedName, String> {
    let reason = |(target, answer): &(PollTarget, Result<T, VmError>)| {
        answer.as_ref().err().map(|error| (target.name.clone(), error.to_string()))
    };
    answers.iter().filter_map(reason).collect()
}

/// Prints the VMs that did not answer on standard error, each with the reason.
pub fn warn(missing: &BTreeMap<SharedName, String>) {
    for (vm, reason) in missing {
        output::progress(format_args!("{vm}: did not answer: {reason}"));
    }
}
