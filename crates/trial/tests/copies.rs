//! Gateway processes that get from their peers what they would otherwise read from the store.

#[path = "support/platform.rs"]
mod environment;

use base::prelude::*;
use environment::*;
use stand::prelude::*;

/// New versions of the configuration.
const VERSIONS: u64 = 5;
/// The number of the log event for a version of the configuration that is in force.
const CONFIG_APPLIED: u32 = 1017;
/// The number of the log event for a dependency that does not answer.
const DEPENDENCY_LOST: u32 = 1041;
/// The time from the acknowledgement of a version by a store that works again to the moment from
/// which no VM may use an older one: the stable window of 3 s and the bound of 2 s, of section 1.2 in
/// docs/platform-deployment.md.
const SETTLED_SPAN: ClockSpan = ClockSpan::from_secs(5);
/// The table of the rows that VMs write about themselves.
const VM_TABLE: &str = "agateroad_vms";
/// Calls of which some would reach an upstream that is usable.
const CALLS: usize = 40;

/// Writes versions of the configuration while three gateways run. Returns how often the gateways
/// read the whole table of the configuration for them.
async fn reads_of_new_versions(disabled: DisabledList) -> u64 {
    let plan = EnvironmentPlan { disabled, ..EnvironmentPlan::default() };
    let mut env = PlatformEnvironment::start(plan).await;
    let (_proxy, _first) = env.replace_gate("vm-2").await;
    let (_other_proxy, second) = env.replace_gate("vm-3").await;
    env.wait_for_vms(3).await;
    // The VMs have agreed on which of them follows the tables.
    tokio::time::sleep(std::time::Duration::from_secs(4)).await;
    let reads = || env.store.counts().all.reads;
    let before = reads();
    let mut config = env.config().clone();
    for _ in 0..VERSIONS {
        config.version += 1;
        platform::stand::write_config(&env.store.handle(), &config);
        let version = format!("\"event\":{CONFIG_APPLIED},\"version\":{}", config.version);
        for gate in [&env.gate, &second] {
            wait_until("the version is in force", async || gate.log().contains(&version)).await;
        }
    }
    reads() - before
}

/// Guards against a new version that every VM reads from the store.
#[tokio::test]
async fn new_versions_are_fetched_from_peers() {
    let reads = reads_of_new_versions(&[]).await;
    let without = reads_of_new_versions(&["peer-config"]).await;
    println!("{reads} reads, {without} without the mechanism");
    assert!(reads < VERSIONS, "{reads} reads of the table for {VERSIONS} versions");
    assert!(without >= VERSIONS, "{without} reads without the mechanism");
}

/// How a VM that starts finds the others.
struct JoinCase {
    name: &'static str,
    /// Whether its settings name a VM that is alive.
    seeded: bool,
    /// Whether they also name one that is down.
    stale: bool,
    /// Whether the VM writes a row about itself, so that others find it.
    writes_row: bool,
}

/// Guards against VMs that all write and read the table of VMs at their start, and against one that
/// does not find the others because the VMs in its settings are down.
#[tokio::test]
async fn a_vm_joins_through_the_vms_in_its_settings() {
    let case = |name, seeded, stale, writes_row| JoinCase { name, seeded, stale, writes_row };
    let cases = [
        case("one alive", true, false, false),
        case("one alive and one down", true, true, false),
        case("one down", false, true, true),
        case("none", false, false, true),
    ];
    for case in cases {
        let mut env = PlatformEnvironment::start(EnvironmentPlan::default()).await;
        let seed = case.seeded.then_some(env.gate.control_address);
        let stale = case.stale.then(|| ([127, 0, 0, 1], 1).into());
        let seeds = seed.into_iter().chain(stale).collect();
        let (_proxy, first) = env.replace_gate_with("vm-2", seeds).await;
        env.wait_for_vms(2).await;
        let row = env.store.handle().row(&RowPath::new(VM_TABLE, "vm-2"));
        assert_eq!(row.is_some(), case.writes_row, "{}", case.name);
        env.serve_calls("joined", CALLS).await;
        drop(first);
    }
}

/// Guards against a VM that uses an upstream which left while the VM was down, because the store
/// still lists it as ready.
#[tokio::test]
async fn a_vm_that_starts_learns_which_upstreams_left() {
    // A check of the upstream would tell the first VM before a call does, and then no call reaches it.
    let plan = EnvironmentPlan { checks: false, ..EnvironmentPlan::default() };
    let mut env = PlatformEnvironment::start(plan).await;
    env.fill_retry_budget("left").await;
    env.upstreams[0].server.update(|plan| plan.final_drain = true);
    let before = env.upstreams[0].server.counts().arrived;
    wait_until("a call reaches the upstream", async || {
        let id = format!("leave-{}", env.upstreams[1].server.counts().arrived);
        env.call_and_check(LOOK, &id, &ExpectedEnd::SERVED).await.expect("served");
        env.upstreams[0].server.counts().arrived > before
    })
    .await;
    let (_proxy, _first) = env.replace_gate("vm-2").await;
    let before = env.upstreams[0].server.counts().arrived;
    env.serve_calls("started", CALLS).await;
    assert_eq!(env.upstreams[0].server.counts().arrived, before);
}

/// Guards against a VM that waits for the answer to a long poll which the store lost in an outage,
/// and misses the versions after the outage: every VM did so, and those that had started meanwhile
/// fetched the old version from them (seed 630770501332 of trouble-3 at Maule).
#[tokio::test]
async fn versions_after_an_outage_come_into_force() {
    let env = PlatformEnvironment::start(EnvironmentPlan::default()).await;
    env.serve_calls("before", CALLS).await;
    env.fail_store(vec![RowFault { down: Some(RowOutage::Silent), ..RowFault::default() }]);
    let lost = format!("\"event\":{DEPENDENCY_LOST},");
    wait_until("the outage is detected", async || env.gate.log().contains(&lost)).await;
    env.fail_store(Vec::new());
    let mut config = env.config().clone();
    config.version += 1;
    config.routes.push(route("late", "/late", SERVICE, &EnvironmentPlan::default()));
    platform::stand::write_config(&env.store.handle(), &config);
    tokio::time::sleep(SETTLED_SPAN.to_duration()).await;
    env.call_and_check("/late", "late", &ExpectedEnd::SERVED).await.expect("the new route is used");
}

/// A request that crashes every upstream that runs it.
const POISON: &str = "/look/poison";
/// The number of the log event for a request that is confirmed to crash upstreams.
const SUSPECT_CONFIRMED: u32 = 1402;

/// Returns how many times upstreams crashed.
fn crashes(env: &PlatformEnvironment) -> u64 {
    env.upstreams.iter().map(|upstream| upstream.server.counts().crashes).sum()
}

/// Sends a request that crashes upstreams until a VM refuses it, starts another VM and sends the
/// request there. Returns how many upstreams crash at the other VM.
async fn crashes_at_started_vm(disabled: DisabledList) -> u64 {
    let default_plan = EnvironmentPlan::default();
    let upstream = UpstreamPlan {
        crash_paths: vec![POISON.into()],
        restart_ms: Some(300),
        ..default_plan.upstream.clone()
    };
    let plan = EnvironmentPlan { upstreams: 3, upstream, disabled, ..default_plan };
    let mut env = PlatformEnvironment::start(plan).await;
    env.serve_calls("before", 6).await;
    let confirmed = format!("\"event\":{SUSPECT_CONFIRMED}");
    let mut index = 0;
    wait_until("the request is confirmed", async || {
        index += 1;
        // The answer does not matter: the request is sent until it is refused for good.
        let _ = env.call(POISON, &format!("poison-{index}")).await;
        env.gate.log().contains(&confirmed)
    })
    .await;
    for upstream in &env.upstreams {
        await_event("the upstream is back", upstream.server.wait_listening(true)).await;
    }
    let seeds = vec![env.gate.control_address];
    let (_proxy, _first) = env.replace_gate_with("vm-2", seeds).await;
    let before = crashes(&env);
    let answer = env.call(POISON, "poison-at-vm-2").await;
    let status = answer.map_or(0, |answer| answer.status.as_u16());
    assert_eq!(status == 503, crashes(&env) == before, "{status}");
    crashes(&env) - before
}

/// Guards against a VM that starts and runs a request which its peers refuse, because it crashes
/// upstreams (review/4).
#[tokio::test]
async fn a_vm_that_starts_refuses_the_suspects_of_its_peers() {
    assert_eq!(crashes_at_started_vm(&[]).await, 0);
    assert!(crashes_at_started_vm(&["peer-suspects"]).await > 0, "no crash without the mechanism");
}
