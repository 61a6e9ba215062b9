//! Options for the platform, the environment and the author of changes, and the clients made from
//! them.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use base::prelude::*;
use bpaf::Bpaf;
use config::prelude::*;
use snafu::ResultExt;
use store::prelude::*;
use tokio::runtime::Runtime;

use crate::error::{CtlError, RuntimeSnafu};
use crate::output::{OutputArguments, output_arguments};

/// The maximum length of the name of an environment or author. Names in documents have the same
/// limit.
const MAX_NAME_BYTES: usize = 63;

/// The options for the platform, the environment and its trial environment, and the author of
/// changes.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct OperatorArguments {
    /// Address of the platform, such as 10.0.0.5:8090
    #[bpaf(long, env("AGATECTL_PLATFORM"), argument("ADDRESS"))]
    pub platform: SocketAddr,
    /// Environment that serves callers
    #[bpaf(
        long,
        env("AGATECTL_ENVIRONMENT"),
        argument::<String>("NAME"),
        parse(parse_name)
    )]
    pub environment: SharedName,
    /// Environment where documents are tried; the default is the --environment name followed by -trial
    #[bpaf(
        long,
        env("AGATECTL_TRIAL"),
        argument::<String>("NAME"),
        parse(parse_name),
        optional
    )]
    pub trial: Option<SharedName>,
    /// Who makes the change; shown to operators whose change is refused because of it
    #[bpaf(
        long,
        env("AGATECTL_AUTHOR"),
        argument::<String>("NAME"),
        parse(parse_name),
        fallback(SharedName::from("operator"))
    )]
    pub author: SharedName,
}

/// The arguments of every command that makes a change.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct ChangeArguments {
    #[bpaf(external)]
    pub(crate) output_arguments: OutputArguments,
    #[bpaf(external)]
    pub(crate) operator_arguments: OperatorArguments,
    #[bpaf(external)]
    pub(crate) base_arguments: BaseArguments,
}

/// The option for the version that a change is based on.
#[derive(Bpaf, Clone, Copy, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct BaseArguments {
    /// Refuse the change unless this version is in force
    #[bpaf(long, argument("VERSION"), optional)]
    pub base: Option<u64>,
}

const NAME_RULE: &str =
    "a name has 1 to 63 lower-case letters, digits, -, _ and ., and starts with a letter or digit";

fn parse_name(name: String) -> Result<SharedName, &'static str> {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let valid = name.len() <= MAX_NAME_BYTES
        && name.bytes().next().is_some_and(allowed)
        && name.bytes().all(|byte| allowed(byte) || b"-_.".contains(&byte));
    if valid { Ok(SharedName::from(name)) } else { Err(NAME_RULE) }
}

/// The clients of a command that reads or changes an environment.
pub struct OperatorClient {
    /// The client of the platform.
    pub store: HttpStore<RealClock>,
    /// Makes the changes and reads the versions.
    pub operator: ConfigOperator<HttpStore<RealClock>, RealClock>,
}

impl OperatorArguments {
    /// Returns the name of the trial environment.
    pub fn to_trial(&self) -> SharedName {
        let default = || SharedName::from(format!("{}-trial", self.environment));
        self.trial.clone().unwrap_or_else(default)
    }

    /// Returns a client, which connects to the platform when it is first used.
    pub fn to_client(&self) -> OperatorClient {
        let clock = RealClock::new();
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let session = format!("{}-{}-{:x}", self.author, std::process::id(), epoch.as_nanos());
        let store = connect(self.platform);
        let (author, epoch_ms) = (self.author.clone(), epoch.as_millis() as u64);
        let operator =
            ConfigOperator::new(store.clone(), clock, author, SharedName::from(session), epoch_ms);
        OperatorClient { store, operator }
    }
}

/// Returns a client of the platform, which connects when it is first used.
pub fn connect(platform: SocketAddr) -> HttpStore<RealClock> {
    let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let seed = epoch.as_nanos() as u64 ^ u64::from(std::process::id());
    HttpStore::new(HttpSettings::new(platform, seed), RealClock::new())
}

/// Returns the event loop of a command that sends requests.
///
/// # Errors
///
/// Fails if the system cannot create the event loop.
pub fn runtime() -> Result<Runtime, CtlError> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)
}
