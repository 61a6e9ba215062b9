//! Loads the settings of one gateway process: parses and checks them.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::num::NonZeroUsize;

use base::prelude::*;
use snafu::Snafu;
use world::prelude::*;

use crate::field;
use crate::fleet::{FleetSettings, check_fleet};
use crate::generated::settings::{
    InterfaceKind, LogFormat, LogLevel, SettingsDocument, TimeoutsEntry,
};
use crate::parse::{ParseError, ParseLimits};
use crate::problem::{FieldPath, FieldProblem, ProblemList, to_lines};
use crate::region::{check_centres, check_latency};

const PEER_SECRETS: &str = "peer_secrets";
const OPERATOR_SECRETS: &str = "operator_secrets";
/// The limits of the parser. The settings of a process usually have a few hundred bytes.
const LIMITS: ParseLimits =
    ParseLimits { size: 64 * 1024, secret_fields: &[PEER_SECRETS, OPERATOR_SECRETS] };
/// The most secrets in a list. The rotation of a secret needs two.
const MAX_SECRETS: usize = 16;
/// The shortest secret, in characters. Shorter ones can be guessed.
const MIN_SECRET_CHARS: usize = 16;
/// The longest secret, in characters. It has to fit into a header.
const MAX_SECRET_CHARS: usize = 256;
/// The most VMs that are asked for the others. One that answers is enough.
const MAX_SEEDS: usize = 64;
/// The most worker threads.
const MAX_WORKERS: u32 = 1_024;
/// The name of the environment with the interface platform if the settings state none, since the
/// platform stores its document without a name.
const PLATFORM_ENVIRONMENT: &str = "platform";
/// The default of `leave_ms` with the interface agateroad. A load balancer with checks every few
/// seconds needs less.
const AGATEROAD_DRAIN_DELAY_MS: u32 = 10_000;
/// The default of `leave_ms` with the interface platform. Its load balancer removes a VM after two
/// failed checks one second apart; the rest is for the duration of the checks.
const PLATFORM_DRAIN_DELAY_MS: u32 = 2_600;

/// Rejected settings.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The bytes do not follow the schema.
    #[snafu(display("the settings cannot be read: {source}"), context(false))]
    Parse {
        /// The first problem.
        source: ParseError,
    },
    /// The settings follow the schema but contain contradictions or values out of range.
    #[snafu(display("correct these problems of the settings:{}", to_lines(problems)))]
    Invalid {
        /// All problems.
        problems: Vec<FieldProblem>,
    },
}

impl SettingsError {
    /// Returns all problems that were found.
    pub fn to_problems(&self) -> Vec<FieldProblem> {
        match self {
            Self::Parse { source } => vec![source.to_problem()],
            Self::Invalid { problems } => problems.clone(),
        }
    }
}

/// A secret of peers or operators. Debug output does not contain it.
#[derive(Clone, Eq, PartialEq)]
pub struct SharedSecret(SharedName);

impl SharedSecret {
    /// Returns the secret as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for SharedSecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SharedSecret(hidden)")
    }
}

/// The time limits of a process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProcessTimeouts {
    /// The time limit for the head of a request to arrive.
    pub head: ClockSpan,
    /// The time after which an idle connection of a caller is closed.
    pub caller_idle: ClockSpan,
    /// The time limit for a request or response body without progress.
    pub body_idle: ClockSpan,
    /// The time limit for opening a connection to an upstream.
    pub connect: ClockSpan,
    /// The time after which an idle connection to an upstream is closed.
    pub upstream_idle: ClockSpan,
    /// The time limit of a call to the platform.
    pub platform: ClockSpan,
    /// The time limit of a call to a peer.
    pub peer: ClockSpan,
    /// The time for which a process that shuts down accepts new requests after readiness is off.
    /// `leave_ms` in the settings.
    pub drain_delay: ClockSpan,
}

/// The settings of one gateway process.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// The name of the VM.
    pub vm_name: SharedName,
    /// The protocol of callers, upstreams and the store.
    pub interface: InterfaceKind,
    /// The environment whose document the VM serves.
    pub environment: SharedName,
    /// The data centre that the VM runs in.
    pub centre: SharedName,
    /// The data centres of the deployment, `centre` included, for the interface platform. With the
    /// interface agateroad, the environment document lists them.
    pub centres: Vec<DataCentre>,
    /// The latency in one direction between data centres of one region.
    pub centre_latency: ClockSpan,
    /// The address of the listener for callers.
    pub caller_address: SocketAddr,
    /// The address of the listener for peers and operators.
    pub control_address: SocketAddr,
    /// The address of the listener for metrics and readiness.
    pub metrics_address: SocketAddr,
    /// The address to which peers send datagrams; always present with the interface platform.
    pub exchange_address: Option<SocketAddr>,
    /// The control addresses of VMs that are asked for the others at the start.
    pub peer_seeds: Vec<SocketAddr>,
    /// The address of the platform's store and membership list, or of its row store with the
    /// interface platform.
    pub platform_address: SocketAddr,
    /// The secrets shared by all VMs, at least one. The first one signs; all of them are accepted.
    pub peer_secrets: Vec<SharedSecret>,
    /// The secrets accepted from operators, at least one.
    pub operator_secrets: Vec<SharedSecret>,
    /// The number of worker threads; `None` for the number of cores.
    pub worker_count: Option<NonZeroUsize>,
    /// The format of log lines.
    pub log_format: LogFormat,
    /// The least severe level that is logged.
    pub log_level: LogLevel,
    /// The time limits.
    pub timeouts: ProcessTimeouts,
    /// The limits that apply to all VMs together.
    pub fleet: FleetSettings,
}

/// Parses and checks the settings of a process.
///
/// # Errors
///
/// Returns an error with the first problem if the bytes do not follow the schema, or else with all
/// problems that the checks find. Messages never contain secrets.
pub fn load_settings(bytes: &[u8]) -> Result<ProcessSettings, SettingsError> {
    let document: SettingsDocument = LIMITS.parse(bytes)?;
    let mut problems = ProblemList::default();
    let settings = check_settings(&document, &mut problems);
    problems.accept(settings).map_err(|problems| SettingsError::Invalid { problems })
}

fn check_settings(
    document: &SettingsDocument,
    problems: &mut ProblemList,
) -> Option<ProcessSettings> {
    let interface = document.interface.unwrap_or_default();
    let vm_name = field::name(&FieldPath::top("vm_name"), &document.vm_name, problems);
    let environment = check_environment(document, interface, problems);
    let centre = field::name(&FieldPath::top("data_centre"), &document.data_centre, problems);
    let centres = check_centres(document, problems);
    let centre_latency = check_latency(document.data_centre_latency_ms, problems);
    let addresses = check_listeners(document, problems);
    let exchange_address = check_exchange_address(document, interface, problems);
    let peer_seeds = check_seeds(document, problems);
    let platform_path = FieldPath::top("platform_address");
    let platform = field::remote_address(&platform_path, &document.platform_address, problems);
    let (peer_secrets, operator_secrets) = check_secrets(document, problems);
    if let Some(count) = document.worker_count {
        let remedy = "leave the field out to use one worker for each core";
        let path = FieldPath::top("worker_count");
        field::within(&path, count, 1..=MAX_WORKERS, remedy, problems);
    }
    let entry = document.timeouts.clone().unwrap_or_default();
    let timeouts = check_timeouts(&entry, interface, problems);
    let fleet = check_fleet(&document.fleet.clone().unwrap_or_default(), problems);
    check_drain_delay(interface, &timeouts, &fleet, problems);
    let [caller_address, control_address, metrics_address] = addresses?;
    Some(ProcessSettings {
        vm_name,
        interface,
        environment: environment?,
        centre,
        centres,
        centre_latency,
        caller_address,
        control_address,
        metrics_address,
        exchange_address,
        peer_seeds,
        platform_address: platform?,
        peer_secrets,
        operator_secrets,
        worker_count: document.worker_count.and_then(|count| NonZeroUsize::new(count as usize)),
        log_format: document.log_format.unwrap_or_default(),
        log_level: document.log_level.unwrap_or_default(),
        timeouts,
        fleet,
    })
}

/// Checks the name of the environment. It is optional with the interface platform, which stores one
/// document without a name.
fn check_environment(
    document: &SettingsDocument,
    interface: InterfaceKind,
    problems: &mut ProblemList,
) -> Option<SharedName> {
    let path = FieldPath::top("environment");
    match (&document.environment, interface) {
        (Some(text), _) => Some(field::name(&path, text, problems)),
        (None, InterfaceKind::Platform) => Some(PLATFORM_ENVIRONMENT.into()),
        (None, InterfaceKind::Agateroad) => {
            let reason = "is missing, and the interface agateroad needs it";
            problems.report(&path, reason, "name the environment whose document the VM serves");
            None
        }
    }
}

/// Checks the address for datagrams of peers. It is not compared with the other listeners, which
/// use TCP ports.
fn check_exchange_address(
    document: &SettingsDocument,
    interface: InterfaceKind,
    problems: &mut ProblemList,
) -> Option<SocketAddr> {
    let path = FieldPath::top("exchange_address");
    if document.exchange_address.is_none() && interface == InterfaceKind::Platform {
        let reason = "is missing, and the interface platform needs it";
        problems.report(&path, reason, "give the IP address and port for datagrams of peers");
    }
    let text = document.exchange_address.as_ref()?;
    field::reachable_address(&path, text, problems)
}

/// Checks the addresses of the VMs that are asked for the others at the start.
fn check_seeds(document: &SettingsDocument, problems: &mut ProblemList) -> Vec<SocketAddr> {
    let path = FieldPath::top("peer_seeds");
    field::length(&path, document.peer_seeds.len(), 0..=MAX_SEEDS, problems);
    let seeds = document.peer_seeds.iter().enumerate();
    seeds
        .filter_map(|(index, text)| field::remote_address(&path.item(index), text, problems))
        .collect()
}

/// Checks that a process that shuts down has time for calls in flight after `leave_ms`.
fn check_drain_delay(
    interface: InterfaceKind,
    timeouts: &ProcessTimeouts,
    fleet: &FleetSettings,
    problems: &mut ProblemList,
) {
    if interface == InterfaceKind::Platform && timeouts.drain_delay >= fleet.stop_limit {
        let (drain_delay, limit) = (timeouts.drain_delay.as_millis(), fleet.stop_limit.as_millis());
        let reason =
            format!("{drain_delay} leaves no time for calls in flight before SIGKILL at {limit}");
        let path = FieldPath::top("timeouts").field("leave_ms");
        problems.report(&path, reason, "give less than fleet.stop_limit_ms");
    }
}

/// Checks the addresses of the listeners for callers, for peers and operators, and for metrics.
fn check_listeners(
    document: &SettingsDocument,
    problems: &mut ProblemList,
) -> Option<[SocketAddr; 3]> {
    let fields = [
        ("caller_address", &document.caller_address),
        ("control_address", &document.control_address),
        ("metrics_address", &document.metrics_address),
    ];
    let addresses =
        fields.map(|(name, text)| field::listener_address(&FieldPath::top(name), text, problems));
    for (index, (name, _)) in fields.iter().enumerate() {
        let earlier = addresses[..index].iter().position(|other| overlap(*other, addresses[index]));
        if let Some(earlier) = earlier {
            let reason = format!("takes the same address and port as {}", fields[earlier].0);
            problems.report(&FieldPath::top(name), reason, "give each listener its own port");
        }
    }
    let [caller, control, metrics] = addresses;
    Some([caller?, control?, metrics?])
}

/// Returns whether two listeners cannot be opened at the same time.
fn overlap(first: Option<SocketAddr>, second: Option<SocketAddr>) -> bool {
    let (Some(first), Some(second)) = (first, second) else { return false };
    let same_address =
        first.ip() == second.ip() || first.ip().is_unspecified() || second.ip().is_unspecified();
    first.port() != 0 && first.port() == second.port() && same_address
}

/// Checks both lists of secrets. With a secret in both, operators could call the methods for peers.
fn check_secrets(
    document: &SettingsDocument,
    problems: &mut ProblemList,
) -> (Vec<SharedSecret>, Vec<SharedSecret>) {
    let mut paths = HashMap::new();
    let mut check_list = |name: &str, entries: &[String]| {
        let list = FieldPath::top(name);
        field::length(&list, entries.len(), 1..=MAX_SECRETS, problems);
        for (index, entry) in entries.iter().enumerate() {
            let path = list.item(index);
            check_secret(&path, entry, problems);
            if let Some(previous_path) = paths.insert(entry.clone(), path.clone()) {
                let reason = format!("is the same secret as {previous_path}");
                problems.report(&path, reason, "generate another one");
            }
        }
        entries.iter().map(|entry| SharedSecret(SharedName::from(entry.as_str()))).collect()
    };
    let peer_secrets = check_list(PEER_SECRETS, &document.peer_secrets);
    let operator_secrets = check_list(OPERATOR_SECRETS, &document.operator_secrets);
    (peer_secrets, operator_secrets)
}

fn check_secret(path: &FieldPath, text: &str, problems: &mut ProblemList) {
    let in_range = (MIN_SECRET_CHARS..=MAX_SECRET_CHARS).contains(&text.len());
    if !in_range || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        let remedy =
            format!("use {MIN_SECRET_CHARS} to {MAX_SECRET_CHARS} visible ASCII characters");
        problems.report(path, "not a valid secret", remedy);
    }
}

fn check_timeouts(
    entry: &TimeoutsEntry,
    interface: InterfaceKind,
    problems: &mut ProblemList,
) -> ProcessTimeouts {
    let timeouts = FieldPath::top("timeouts");
    let mut span =
        |name: &str, millis, min_ms| field::span(&timeouts.field(name), millis, min_ms, problems);
    let default_ms = match interface {
        InterfaceKind::Agateroad => AGATEROAD_DRAIN_DELAY_MS,
        InterfaceKind::Platform => PLATFORM_DRAIN_DELAY_MS,
    };
    ProcessTimeouts {
        head: span("head_ms", entry.head_ms, 1),
        caller_idle: span("caller_idle_ms", entry.caller_idle_ms, 1),
        body_idle: span("body_idle_ms", entry.body_idle_ms, 1),
        connect: span("connect_ms", entry.connect_ms, 1),
        upstream_idle: span("upstream_idle_ms", entry.upstream_idle_ms, 1),
        platform: span("platform_ms", entry.platform_ms, 1),
        peer: span("peer_ms", entry.peer_ms, 1),
        drain_delay: span("leave_ms", entry.leave_ms.unwrap_or(default_ms), 0),
    }
}
