//! Starts the platform, upstreams and gateways of one deployment.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use config::prelude::*;
use gate::options::{CallTuning, GateOptions, GateTimeouts};
use gate::platform_tasks::{PlatformOptions, PlatformTasks};
use gate::process::RunningGate;
use gate::state::GateState;
use peer::prelude::*;
use route::prelude::*;
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt};
use stand::prelude::*;
use store::prelude::*;
use suspect::prelude::FingerprintKey;
use world::prelude::*;

use crate::check::BorderCheck;
use crate::demo::deployment::DemoDeployment;
use crate::error::{CtlError, DemoStoppedSnafu, GateSnafu};

/// Worker threads of each gateway.
const GATE_WORKERS: usize = 1;

/// The secret of the gateways. It is never sent, because the gateways of the demo have no control
/// listener.
const DEMO_SECRET: &str = "secret-of-the-demo";
/// Time limit of a request to a peer.
const PEER_TIMEOUT: ClockSpan = ClockSpan::from_secs(1);

/// A running upstream with its service.
pub struct DemoUpstream {
    /// The name of the service.
    pub service: SharedName,
    /// The running upstream.
    pub stand: UpstreamStand,
}

/// Platform, upstreams and gateways of one deployment. They stop when this value is dropped.
pub struct DemoCluster {
    /// The gateways, one for each data centre.
    pub gates: Vec<RunningGate>,
    /// The upstreams of the document.
    pub upstreams: Vec<DemoUpstream>,
    /// The environment in force.
    pub environment: EnvironmentMap,
    /// The time at which all upstreams had started.
    pub started: ClockTime,
    /// The clock of `started`.
    pub clock: RealClock,
    _platform_tasks: Vec<PlatformTasks>,
    _platform: PlatformStand,
}

impl DemoCluster {
    /// Starts all parts and puts the document into force as the commands `try` and `promote` do.
    ///
    /// # Errors
    ///
    /// Fails if a part does not start or the document cannot be put into force.
    pub async fn start(deployment: &DemoDeployment) -> Result<Self, CtlError> {
        let clock = RealClock::new();
        let platform = PlatformStand::start(PlatformPlan::default()).await?;
        let (document, upstreams) = start_upstreams(deployment).await?;
        let started = clock.now();
        let environment =
            put_in_force(deployment.name, platform.address(), clock, document).await?;
        let centres = environment.centres.iter();
        let gates = centres
            .map(|centre| start_gate(&centre.name, &environment))
            .collect::<Result<Vec<_>, _>>()?;
        let platform_tasks =
            gates.iter().map(|gate| start_platform_tasks(gate, platform.address()));
        let _platform_tasks = platform_tasks.collect();
        Ok(Self {
            gates,
            upstreams,
            environment,
            started,
            clock,
            _platform_tasks,
            _platform: platform,
        })
    }
}

/// Starts the upstreams of a document and returns the document with their addresses.
async fn start_upstreams(
    deployment: &DemoDeployment,
) -> Result<(Bytes, Vec<DemoUpstream>), CtlError> {
    let mut document: Value = serde_json::from_slice(deployment.document)
        .map_err(|error| CtlError::DemoStopped { reason: error.to_string() })?;
    let mut upstreams = Vec::new();
    for service in document["services"].as_array_mut().into_iter().flatten() {
        let name = SharedName::from(service["name"].as_str().unwrap_or_default());
        for entry in service["upstreams"].as_array_mut().into_iter().flatten() {
            let upstream_name = entry["name"].as_str().unwrap_or_default();
            let seed = upstreams.len() as u64;
            let plan = deployment.upstream_plan(upstream_name, seed, entry);
            let stand = UpstreamStand::start(plan).await?;
            entry["address"] = json!(stand.address());
            upstreams.push(DemoUpstream { service: name.clone(), stand });
        }
    }
    Ok((Bytes::from(document.to_string()), upstreams))
}

/// Tries and promotes a document, reads it back from the store and returns its environment.
async fn put_in_force(
    name: &'static str,
    address: SocketAddr,
    clock: RealClock,
    document: Bytes,
) -> Result<EnvironmentMap, CtlError> {
    let store = HttpStore::new(HttpSettings::new(address, 0), clock);
    let (author, session) = (SharedName::from("demo"), SharedName::from("demo"));
    let operator = ConfigOperator::new(store.clone(), clock, author, session, 0);
    let (production, trial) = (SharedName::from(name), SharedName::from(format!("{name}-trial")));
    let tried = operator.try_document(&BorderCheck, &trial, document, None).await?;
    let row = operator.promote(&production, &trial, &tried.digest, None).await?;
    let stored =
        store.load_object(&row.digest).await.map_err(|source| ConfigError::Store { source })?;
    let stored = stored.context(DemoStoppedSnafu { reason: "the document is not in the store" })?;
    border::load_document(&stored, row.version)
        .map_err(|error| CtlError::DemoStopped { reason: error.to_string() })
}

/// Starts the tasks with which a gateway claims at-most-once work on the platform.
fn start_platform_tasks(gate: &RunningGate, address: SocketAddr) -> PlatformTasks {
    let counts = Arc::new(ControlCounts::default());
    let options = PlatformOptions {
        store: HttpSettings::new(address, 0),
        environment: None,
        client: PeerClient::new(DEMO_SECRET, PEER_TIMEOUT, counts),
    };
    PlatformTasks::start(&gate.state, options)
}

fn start_gate(centre: &SharedName, environment: &EnvironmentMap) -> Result<RunningGate, CtlError> {
    let name = SharedName::from(format!("{centre}-vm"));
    let options = GateOptions {
        remote: None,
        vm: VmIdentity { name, incarnation: 1, centre: centre.clone() },
        caller_address: SocketAddr::from(([127, 0, 0, 1], 0)),
        workers: GATE_WORKERS,
        policy: PolicyKind::default(),
        initial_timeouts: GateTimeouts::default(),
        fingerprint_key: FingerprintKey::new(DEMO_SECRET),
        tuning: CallTuning::default(),
    };
    RunningGate::start(Arc::new(GateState::new(options, environment.clone()))).context(GateSnafu)
}
