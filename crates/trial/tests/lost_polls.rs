//! Gateway processes whose long polls for the configuration get no answer.

#[path = "support/platform.rs"]
mod environment;

use base::prelude::*;
use directory::prelude::*;
use environment::*;
use platform::PlatformCodec;
use platform::stand::write_config;
use stand::prelude::*;

/// The service to which a route moves.
const ANNEX: &str = "annex";
/// The calls after a change.
const CALLS: usize = 5;
/// How long the store loses long polls. Every VM that follows the configuration sends its next poll
/// in this time: at most 450 ms after a version.
const LOSS_SPAN: ClockSpan = ClockSpan::from_secs(1);
/// The time without a fault before a change. Longer than the stable window of 3 s, after which the
/// time limit of a change holds again.
const CALM_SPAN: ClockSpan = ClockSpan::from_secs(5);
/// The time limit of a change, from section 1.2 of docs/platform-deployment.md.
const APPLY_LIMIT: ClockSpan = ClockSpan::from_secs(2);

/// Guards against a version of the configuration that comes into force late although the store has
/// long been answering, because an earlier short outage swallowed the long polls (review/11).
#[tokio::test]
async fn a_change_after_lost_polls_is_in_force_in_time() {
    assert_eq!(outdated_calls(&[]).await, 0);
    let outdated = outdated_calls(&["config-check"]).await;
    assert_eq!(outdated, CALLS, "the version is read without the mechanism as well");
}

/// Returns how many calls run at the previous service of their route after the time limit of the
/// change. The store had lost the long polls for the configuration before.
async fn outdated_calls(disabled: DisabledList) -> usize {
    let mut env =
        PlatformEnvironment::start(EnvironmentPlan { disabled, ..EnvironmentPlan::default() })
            .await;
    env.add_upstream("annex-0", ANNEX).await;
    let (_proxy, _first) = env.replace_gate("vm-2").await;
    let (_other_proxy, _second) = env.replace_gate("vm-3").await;
    env.wait_for_vms(3).await;
    env.configure(|config| config.services.push(service(ANNEX))).await;
    env.serve_calls("before", CALLS).await;
    lose_polls(&env).await;
    tokio::time::sleep(CALM_SPAN.to_duration()).await;
    let mut config = env.config().clone();
    config.version += 2;
    for route in config.routes.iter_mut().filter(|route| *route.path_prefix == *LOOK) {
        route.targets[0].service = ANNEX.into();
    }
    write_config(&env.store.handle(), &config);
    tokio::time::sleep(APPLY_LIMIT.to_duration()).await;
    let mut outdated = 0;
    for index in 0..CALLS {
        let id = format!("after-{index}");
        env.call_and_check(LOOK, &id, &ExpectedEnd::SERVED).await.expect("a served call");
        let annex = env.upstreams.last().expect("the upstream of the annex");
        outdated += usize::from(annex.server.counts().request_record(&id).runs == 0);
    }
    outdated
}

/// Makes the store lose the long polls that follow a version.
async fn lose_polls(env: &PlatformEnvironment) {
    env.fail_store(vec![RowFault {
        lost_polls: Some(PlatformCodec::CONFIG_TABLE.into()),
        ..RowFault::default()
    }]);
    let mut config: ConfigEntry = env.config().clone();
    config.version += 1;
    // Answers the polls that wait already, which are not lost.
    write_config(&env.store.handle(), &config);
    await_event("a poll is lost", env.store.wait_for(|counts| counts.all.silenced > 0)).await;
    tokio::time::sleep(LOSS_SPAN.to_duration()).await;
    env.fail_store(Vec::new());
}
