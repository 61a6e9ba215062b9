//! The control plane of this VM: periodic exchanges with peers over HTTP, and the answers to the
//! control calls of peers and operators.
//!
//! Depends on [`crate::follow`] for the configuration; [`crate::platform_tasks`] starts it.

use std::sync::{Arc, OnceLock};

use base::prelude::*;
use bytes::Bytes;
use futures_util::future::join_all;
use peer::prelude::*;
use report::prelude::*;
use suspect::prelude::*;

use crate::event;
use crate::follow::GateFollower;
use crate::peers::PeerTable;
use crate::state::GateState;

/// The mean time between two exchanges with a random peer.
const EXCHANGE_PERIOD: ClockSpan = ClockSpan::from_millis(500);
/// The most upstream notices in one message. With about 130 bytes each and two messages sent in
/// each period, a VM sends less than 5 KB/s.
const NOTICE_LIMIT: usize = 8;

/// How often a VM that starts sends its own contact to every listed peer. The answers name VMs that
/// the first round missed.
const ANNOUNCE_ROUNDS: u32 = 2;
/// The most suspects in one periodic message. Changes are also sent to every peer immediately.
const SUSPECT_LIMIT: usize = 2;
/// The time between two checks for changes of suspects. It is short enough that two crashes of one
/// request on different VMs are known to all VMs before most callers retry it.
const SUSPECT_PERIOD: ClockSpan = ClockSpan::from_millis(50);

/// Answers control calls and runs the exchanges with peers.
pub struct GateControl {
    /// The state of the gateway.
    pub state: Arc<GateState>,
    /// The known peers, and the documents that they may read from this VM.
    pub peers: Arc<PeerTable>,
    /// Receives the configuration versions that peers report, once the environment is followed.
    pub follower: Arc<OnceLock<GateFollower>>,
}

impl GateControl {
    /// Returns what this VM reports in an exchange.
    fn notice(&self) -> ExchangeNotice {
        let now = self.state.clock.now();
        let upstreams = self.state.upstreams.export(now, NOTICE_LIMIT);
        let suspects = self.state.tables.suspects.export(now, SUSPECT_LIMIT);
        ExchangeNotice {
            contacts: self.contacts(),
            version: self.peers.version(),
            upstreams,
            suspects,
        }
    }

    fn contacts(&self) -> Vec<PeerContact> {
        self.peers.contacts(self.state.clock.now(), rand::random::<u32>() as usize)
    }

    /// Merges what a peer reported into the tables.
    fn merge(&self, notice: &ExchangeNotice) {
        if let (Some(id), Some(follower)) = (&notice.version, self.follower.get()) {
            follower.observe_version(id);
        }
        let now = self.state.clock.now();
        if self.peers.merge_contacts(&notice.contacts, now) {
            self.state.tables.set_members(self.peers.vm_names());
        }
        for upstream in &notice.upstreams {
            self.state.upstreams.merge(upstream, now);
        }
        for suspect in &notice.suspects {
            self.state.tables.suspects.merge(suspect, now);
        }
    }

    /// Sends crashes and released requests to every peer immediately, because each further crash
    /// costs an upstream. Sends this VM's contact to every peer after the start, and reports
    /// finished isolated runs to the VMs that granted them.
    pub async fn send_suspects(self, client: PeerClient) {
        let mut announced = 0;
        loop {
            tokio::time::sleep(SUSPECT_PERIOD.to_duration()).await;
            // A VM that starts sends its contact to every listed peer immediately.
            if announced < ANNOUNCE_ROUNDS && self.peers.can_announce() {
                announced += 1;
                self.exchange_with_all(&client, Vec::new()).await;
            }
            let tables = &self.state.tables;
            let suspects = tables.take_suspect_notices(self.state.clock.now());
            if !suspects.is_empty() {
                self.exchange_with_all(&client, suspects).await;
            }
            for report in tables.suspects.take_reports() {
                let Some(address) = self.peers.address_of(&report.owner) else { continue };
                let result = GrantResult { report, vm: self.state.options.vm.name.clone() };
                if let Err(error) = client.release_grant(address, &result).await {
                    tracing::debug!(event = event::EXCHANGE_FAILED, %error);
                }
            }
        }
    }

    /// Exchanges a notice with every known peer.
    async fn exchange_with_all(&self, client: &PeerClient, suspects: Vec<SuspectNotice>) {
        let contacts = self.contacts();
        let notice = ExchangeNotice { contacts, suspects, ..ExchangeNotice::default() };
        let addresses = self.peers.peer_addresses();
        let calls = addresses.iter().map(|address| client.exchange(*address, &notice));
        for answer in join_all(calls).await {
            match answer {
                Ok(notice) => self.merge(&notice),
                Err(error) => tracing::debug!(event = event::EXCHANGE_FAILED, %error),
            }
        }
    }

    /// Exchanges notices with one random peer at a time, until it is dropped.
    pub async fn run(self, client: PeerClient) {
        let mut random = RandomSource::from_seed(rand::random());
        loop {
            let pause = EXCHANGE_PERIOD.scaled(0.5 + random.unit());
            tokio::time::sleep(pause.to_duration()).await;
            let addresses = self.peers.peer_addresses();
            let index = (random.unit() * addresses.len() as f64) as usize;
            let Some(address) = addresses.get(index) else { continue };
            match client.exchange(*address, &self.notice()).await {
                Ok(notice) => self.merge(&notice),
                Err(error) => tracing::debug!(event = event::EXCHANGE_FAILED, %error),
            }
        }
    }
}

impl ControlHandler for GateControl {
    fn exchange(&self, notice: ExchangeNotice) -> ExchangeNotice {
        self.merge(&notice);
        self.notice()
    }

    fn document(&self, digest: &SharedName) -> Option<Bytes> {
        self.peers.document(digest)
    }

    fn copy(&self, name: CopyName) -> Option<Bytes> {
        self.peers.copy(name, self.state.clock.now())
    }

    fn grant(&self, request: &GrantRequest) -> bool {
        let now = self.state.clock.now();
        self.state.tables.suspects.grant(request.fingerprint, &request.vm, now)
    }

    fn release_grant(&self, result: &GrantResult) {
        let now = self.state.clock.now();
        self.state.tables.suspects.release_grant(&result.report, &result.vm, now);
    }

    fn suspects(&self) -> Vec<SuspectEntry> {
        self.state.tables.suspects.list(self.state.clock.now())
    }

    fn release(&self, fingerprint: u64) {
        let notice = self.state.tables.suspects.release(fingerprint);
        self.state.tables.add_crash_notices(vec![notice]);
    }

    fn burn(&self) -> BurnExport {
        let vm = &self.state.options.vm.name;
        self.state.tables.burn.export(vm, self.state.clock.now())
    }

    fn status(&self) -> StatusReport {
        let environment = self.state.environment.load();
        StatusReport {
            vm: self.state.options.vm.clone(),
            environment: environment.name.clone(),
            version: self.peers.version(),
            ready: self.state.is_ready(),
            calls: self.state.calls.running(),
        }
    }
}
