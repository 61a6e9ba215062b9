//! Quotas of accounts on the request path: gets a credit for each call from the VMs that own the
//! parts of the quota, and answers the requests of other VMs.
//!
//! The crate `account` decides; this module sends and receives. A call waits for at most one answer
//! from each data centre.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use account::prelude::*;
use base::prelude::*;
use codec::prelude::*;
use http::StatusCode;
use peer::prelude::*;
use route::prelude::ColdUsers;
use tokio::sync::oneshot;
use trace::prelude::CallCause;
use world::prelude::*;

use crate::exchange::VmExchange;
use crate::quota_table::PendingRequest;
use crate::state::GateState;

/// The longest time for an answer from the own data centre, in which a small VM that is busy answers
/// within some tens of milliseconds. The round trip to others is added.
const ANSWER_TIMEOUT: ClockSpan = ClockSpan::from_millis(40);
/// The longest time for which a call waits for the next credit. A refusal would cost its caller more:
/// another connection, and at least this time.
const MAX_CREDIT_WAIT: ClockSpan = ClockSpan::from_millis(60);
/// The shortest delay in a refusal for a quota. Callers that come back sooner find no credit, as others
/// wait for it as well.
const MIN_RETRY_AFTER: ClockSpan = ClockSpan::from_millis(50);
/// The time between two updates of what depends on the membership.
const MEMBERS_PERIOD: ClockSpan = ClockSpan::from_millis(500);

/// Updates what depends on the membership. Called every 100 ms while the environment has accounts or
/// limits the calls to cold upstreams.
pub(crate) fn tick(state: &GateState, exchange: &VmExchange, now: ClockTime) {
    let environment = state.environment.load();
    let limits_cold = environment.contracts.iter().any(|contract| contract.cold_rate.is_some());
    let has_accounts = environment.access.accounts.is_some();
    if !has_accounts && !limits_cold {
        return;
    }
    let quotas = &state.quotas;
    let is_due = {
        let mut updated_at = quotas.updated_at.lock();
        let is_due = updated_at.is_none_or(|at| now.since(at) >= MEMBERS_PERIOD);
        if is_due {
            *updated_at = Some(now);
        }
        is_due
    };
    if limits_cold && is_due {
        let users = ColdUsers::new(exchange.membership.lock().vms_in_service());
        state.upstreams.set_cold_users(users);
    }
    if has_accounts {
        let has_contact = exchange.membership.lock().centre_view().has_contact();
        quotas.owner.lock().tick(has_contact, now);
    }
}

/// Grants credits from the part that this VM owns, if it does.
fn grant(
    state: &GateState,
    exchange: &VmExchange,
    account: &SharedName,
    quota: AccountQuota,
    count: u32,
) -> CreditGrant {
    let parts = part_order(state).len() as u32;
    let now = state.clock.now();
    // The owner is determined and grants under one lock, so that no change comes in between.
    let membership = exchange.membership.lock();
    let mut owner = state.quotas.owner.lock();
    let members = membership.centre_view().digest;
    owner.observe_members(members, |account| membership.owns_quota(account), now);
    owner.grant(account, quota, parts, count, membership.owns_quota(account), now)
}

/// Gets a credit for a call of an account with a quota.
///
/// # Errors
///
/// Returns the refusal if the quota is used up or no owner answers.
pub async fn admit(state: &GateState, account: &ClientAccount) -> Result<(), CallRefusal> {
    let Some(quota) = account.quota else { return Ok(()) };
    let parts = part_order(state);
    state.quotas.credits.lock().record_call(&account.name, state.clock.now());
    let mut step = ask_in_turn(state, account, quota, &parts).await;
    if let CreditStep::Exhausted { retry_in } = step
        && retry_in <= MAX_CREDIT_WAIT
    {
        tokio::time::sleep(retry_in.to_duration()).await;
        step = ask_in_turn(state, account, quota, &parts).await;
    }
    match step {
        CreditStep::Run => Ok(()),
        CreditStep::Exhausted { retry_in } => Err(exhausted(retry_in.max(MIN_RETRY_AFTER))),
        CreditStep::Unknown { retry_in } => Err(unknown(retry_in.max(MIN_RETRY_AFTER))),
        CreditStep::Ask { .. } => Err(unknown(state.options.tuning.retry_after)),
    }
}

/// Asks the owner of each part at most once, until there is a credit. Returns the last step.
async fn ask_in_turn(
    state: &GateState,
    account: &ClientAccount,
    quota: AccountQuota,
    parts: &[SharedName],
) -> CreditStep {
    let mut untried = parts.to_vec();
    let next = |untried: &[SharedName]| {
        let now = state.clock.now();
        state.quotas.credits.lock().next_step(&account.name, untried, parts, now)
    };
    loop {
        let step = next(&untried);
        let CreditStep::Ask { centre, count } = step else { return step };
        untried.retain(|part| *part != centre);
        ask(state, account, quota, &centre, count).await;
    }
}

fn exhausted(retry_in: ClockSpan) -> CallRefusal {
    let message = "the account has used up its quota; send fewer requests";
    let refusal = CallRefusal::not_run(StatusCode::TOO_MANY_REQUESTS, message);
    refusal.with_cause(CallCause::QuotaUsed).retry_after(retry_in)
}

fn unknown(retry_in: ClockSpan) -> CallRefusal {
    let message = "no VM answers for the quota of the account; repeat the request";
    let refusal = CallRefusal::not_run(StatusCode::SERVICE_UNAVAILABLE, message);
    refusal.with_cause(CallCause::QuotaUsed).retry_after(retry_in)
}

/// Returns the data centres in the order in which their owners are asked: this VM's own first, then
/// by round-trip time. If the settings name none, all VMs are in one.
fn part_order(state: &GateState) -> Vec<SharedName> {
    let environment = state.environment.load();
    let own = &state.options.vm.centre;
    let mut parts: Vec<SharedName> =
        environment.centres.iter().map(|centre| centre.name.clone()).collect();
    if parts.is_empty() {
        parts.push(own.clone());
    }
    parts.sort_by_key(|centre| (centre != own, environment.round_trip(own, centre)));
    parts
}

/// Asks the owner of one part for credits, and records the answer.
async fn ask(
    state: &GateState,
    account: &ClientAccount,
    quota: AccountQuota,
    centre: &SharedName,
    count: u32,
) {
    let quotas = &state.quotas;
    let Some(exchange) = quotas.exchange.get() else {
        quotas.credits.lock().record_silence(&account.name, centre, state.clock.now());
        return;
    };
    let (owner, is_own) = {
        let membership = exchange.membership.lock();
        let owner = membership.quota_owner(&account.name, centre);
        let is_own = owner.is_some_and(|owner| owner.vm.name == membership.own().vm.name);
        (owner.map(|owner| owner.exchange_address), is_own)
    };
    let answer = if is_own {
        Some(grant(state, exchange, &account.name, quota, count))
    } else {
        match owner {
            Some(address) => ask_vm(state, exchange, account, centre, count, address).await,
            None => None,
        }
    };
    let now = state.clock.now();
    let mut credits = quotas.credits.lock();
    match answer {
        Some(CreditGrant::Granted(granted)) => credits.add(&account.name, granted, now),
        Some(CreditGrant::Exhausted { retry_in }) => {
            credits.record_exhausted(&account.name, centre, retry_in, now);
        }
        Some(CreditGrant::NotOwner) => credits.record_not_owner(&account.name, centre, now),
        None => credits.record_silence(&account.name, centre, now),
    }
}

/// Asks another VM for credits. Returns `None` if it does not answer in time.
async fn ask_vm(
    state: &GateState,
    exchange: &VmExchange,
    account: &ClientAccount,
    centre: &SharedName,
    count: u32,
    address: SocketAddr,
) -> Option<CreditGrant> {
    let quotas = &state.quotas;
    let id = quotas.next_id.fetch_add(1, Ordering::Relaxed);
    let (sender, receiver) = oneshot::channel();
    quotas.pending.lock().insert(id, sender);
    let _pending = PendingRequest { table: quotas, id };
    let message = CreditRequestMessage { id, account: account.name.clone(), count };
    exchange.send(PeerMessage::CreditRequest(message), &[address]).await;
    let environment = state.environment.load_full();
    let round_trip = environment.round_trip(&state.options.vm.centre, centre);
    let timeout = ANSWER_TIMEOUT + round_trip.unwrap_or(ClockSpan::ZERO);
    let answer = tokio::time::timeout(timeout.to_duration(), receiver).await.ok()?.ok()?;
    Some(match (answer.granted, answer.retry_ms) {
        (0, None) => CreditGrant::NotOwner,
        (0, Some(millis)) => {
            CreditGrant::Exhausted { retry_in: ClockSpan::from_millis(u64::from(millis)) }
        }
        // More than was asked for would be the answer to another request.
        (granted, _) => CreditGrant::Granted(granted.min(count)),
    })
}

/// Answers a request for credits of another VM.
pub(crate) async fn answer(
    state: &GateState,
    exchange: &VmExchange,
    request: &CreditRequestMessage,
    source: SocketAddr,
) {
    let environment = state.environment.load_full();
    let accounts = environment.access.accounts.as_ref();
    let quota = accounts.and_then(|accounts| accounts.quota(&request.account));
    let grant = quota.map_or(CreditGrant::NotOwner, |quota| {
        grant(state, exchange, &request.account, quota, request.count)
    });
    if grant == CreditGrant::NotOwner && exchange.membership.lock().is_leaving() {
        // The VM that asks has not heard that this one is shutting down.
        exchange.send(exchange.hello(true, false), &[source]).await;
    }
    let (granted, retry_ms) = match grant {
        CreditGrant::Granted(granted) => (granted, None),
        CreditGrant::Exhausted { retry_in } => {
            (0, Some(u32::try_from(retry_in.as_millis() + 1).unwrap_or(u32::MAX)))
        }
        CreditGrant::NotOwner => (0, None),
    };
    let answer = CreditAnswerMessage { id: request.id, granted, retry_ms };
    exchange.send(PeerMessage::CreditAnswer(answer), &[source]).await;
}
