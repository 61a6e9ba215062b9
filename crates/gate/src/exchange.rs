//! What this VM tells its peers about the platform's tables, and hears from them.

use std::net::SocketAddr;

use base::prelude::*;
use bytes::Bytes;
use store::prelude::*;

use crate::discovery::DiscoveryCore;

/// The shortest and the longest time between two reads of the upstreams.
const READ_SPAN: [f64; 2] = [700.0, 1000.0];

/// How this VM speaks to its peers.
pub struct ExchangeOptions {
    /// Where it takes datagrams of peers.
    pub address: SocketAddr,
}

/// The exchange with other VMs.
#[derive(Debug)]
pub(crate) struct VmExchange {
    clock: RealClock,
    next: RankedMutex<ClockTime>,
}

impl VmExchange {
    pub(crate) async fn bind(_options: ExchangeOptions, clock: RealClock) -> std::io::Result<Self> {
        Ok(Self { clock, next: RankedMutex::new(LockRank::PeerTable, ClockTime::ZERO) })
    }
    pub(crate) fn set_config(&self, _version: u64, _value: &Bytes) {}
    pub(crate) fn read_due(&self) -> bool {
        *self.next.lock() <= self.clock.now()
    }
    pub(crate) fn next_read(&self) -> ClockTime {
        *self.next.lock()
    }
    pub(crate) fn want_read(&self) {
        *self.next.lock() = self.clock.now();
    }
    pub(crate) fn note_failed_read(&self) {}
    pub(crate) fn note_read(&self, _position: u64, at: ClockTime) {
        let span = READ_SPAN[0] + (READ_SPAN[1] - READ_SPAN[0]) * rand::random::<f64>();
        *self.next.lock() = at + ClockSpan::from_millis_f64(span);
    }
    pub(crate) async fn send_directory(&self, _s: u64, _p: u64, _a: ClockTime, _n: Vec<TableRow>) {}
}

impl<K> DiscoveryCore<K> {
    pub(crate) async fn announce(self: std::sync::Arc<Self>) {}
    pub(crate) async fn greet(self: std::sync::Arc<Self>) {}
    pub(crate) async fn receive(self: std::sync::Arc<Self>) {}
}
