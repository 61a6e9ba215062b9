//! The claims of one VM, shared by its workers.

use base::prelude::*;
use store::row::{RowExpect, RowWrite, ScanRow};
use world::vm::VmIdentity;

use crate::event::{ClaimAction, ClaimEvent};
use crate::machine::ClaimMachine;
use crate::row::{ClaimRow, ClaimState, ReadClaim};
use crate::tuning::ClaimTuning;

/// The claims in progress on one VM.
#[derive(Debug)]
pub struct ClaimTable {
    machine: RankedMutex<ClaimMachine>,
}

impl ClaimTable {
    /// Creates a table without claims. `epoch_ms` is the time of the clock's start in milliseconds
    /// since the Unix epoch; it is used only for the timestamps of rows.
    pub fn new(identity: VmIdentity, epoch_ms: u64, tuning: ClaimTuning, seed: u64) -> Self {
        let machine = ClaimMachine::new(identity, epoch_ms, tuning, seed);
        Self { machine: RankedMutex::new(LockRank::ClaimTable, machine) }
    }

    /// Applies an event and returns the resulting actions.
    pub fn handle(&self, event: ClaimEvent, now: ClockTime) -> Vec<ClaimAction> {
        self.machine.lock().handle(event, now)
    }

    /// Returns when the next timer event is needed.
    pub fn next_wake(&self) -> Option<ClockTime> {
        self.machine.lock().next_wake()
    }

    /// Returns whether the store is known to be down.
    pub fn is_down(&self) -> bool {
        self.machine.lock().is_down()
    }

    /// Returns whether no claim is in progress and every outcome is stored.
    pub fn is_settled(&self) -> bool {
        self.machine.lock().is_settled()
    }

    /// Returns how many keys are in memory.
    pub fn key_count(&self) -> usize {
        self.machine.lock().key_count()
    }

    /// Returns an attempt id that this incarnation of the VM has not used.
    pub fn next_attempt(&self) -> SharedName {
        self.machine.lock().next_attempt()
    }

    /// Returns writes that delete the rows of ended claims past their retention, and that mark
    /// claims of VMs that are no longer on the membership list as unknown. All are conditional, so
    /// that a row that has changed since is not written.
    pub fn sweep(&self, rows: &[ScanRow], now: ClockTime) -> Vec<RowWrite> {
        let machine = self.machine.lock();
        rows.iter().filter_map(|row| machine.sweep_write(row, now)).collect()
    }
}

impl ClaimMachine {
    /// Returns the write that [`ClaimTable::sweep`] makes for a row, or `None` if the row stays.
    fn sweep_write(&self, scanned: &ScanRow, now: ClockTime) -> Option<RowWrite> {
        let found = ReadClaim::from_parts(Some(scanned.version), Some(&scanned.value));
        let ReadClaim::Present(version, row) = found else { return None };
        let row_key = ClaimRow::row_key(&scanned.key);
        let expect = RowExpect::Version(version);
        let age_ms = (self.epoch_ms + now.as_millis()).saturating_sub(row.at_ms);
        match row.state {
            ClaimState::Claimed if self.is_holder_gone(&row) => {
                let value = row.with_state(ClaimState::Unknown).to_value();
                Some(RowWrite::put(&row_key, expect, value))
            }
            ClaimState::Claimed => None,
            _ if age_ms > self.tuning.retention.as_millis() => {
                Some(RowWrite::delete(&row_key, expect))
            }
            _ => None,
        }
    }
}
