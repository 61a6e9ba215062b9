//! What a VM asks its peers for instead of the store, and what it learns of other VMs from them.

use std::net::SocketAddr;

use base::prelude::*;
use directory::entry::VmEntry;

use super::{AskReach, MemberNotice, MembershipTable, draw};
use crate::tuning::MembershipTuning;
use crate::vm::MemberState;

impl MembershipTable {
    /// Returns the control addresses of up to two live VMs to ask, drawn at random.
    pub fn peers_to_ask(&mut self, reach: AskReach) -> Vec<SocketAddr> {
        let centre = &self.own.vm.centre;
        let live = self.vms.values().filter(|vm| vm.is_in_service());
        let (mut near, far): (Vec<_>, Vec<_>) =
            live.map(|vm| &vm.entry).partition(|entry| entry.vm.centre == *centre);
        let only_near = reach == AskReach::Centre && !near.is_empty();
        let first = draw(&mut near, &mut self.random);
        if !only_near {
            near.extend(far);
        }
        let second = draw(&mut near, &mut self.random);
        first.into_iter().chain(second).map(|entry| entry.control_address).collect()
    }

    /// Returns the time for which this VM, which has just started, asks its peers for what it needs
    /// before it reads the store. It grows with the number of VMs that are known meanwhile, so that
    /// of many that start together about ten read in a second, and the others learn from those.
    pub fn start_delay(&self) -> ClockSpan {
        let vms = self.live_entries().count() as f64;
        let MembershipTuning { start_spacing, start_delay_step, start_delay_max, .. } = self.tuning;
        let longest = start_delay_step.scaled(vms).min(start_delay_max);
        start_spacing.scaled(vms * self.start_draw).min(longest)
    }

    /// Returns the live VMs that this one has heard of, itself included, for a peer.
    pub fn members(&self, now: ClockTime) -> Vec<MemberNotice> {
        let own = MemberNotice { entry: self.own.clone(), silent_ms: 0 };
        let others = self.vms.values().filter(|vm| vm.is_in_service()).map(|vm| MemberNotice {
            entry: vm.entry.clone(),
            silent_ms: vm.silence(now).as_millis(),
        });
        [own].into_iter().chain(others).collect()
    }

    /// Records the VMs that a peer knows. One that this VM counts as lost is live again if the peer
    /// has heard of it more recently.
    pub fn merge_members(&mut self, notices: &[MemberNotice], now: ClockTime) {
        for MemberNotice { entry, silent_ms } in notices {
            if entry.vm.name == self.own.vm.name {
                continue;
            }
            let heard_at = now - ClockSpan::from_millis(*silent_ms);
            self.merge_member(entry, heard_at, now);
        }
        self.queries.start(&self.tuning, &mut self.random, now);
    }

    fn merge_member(&mut self, entry: &VmEntry, heard_at: ClockTime, now: ClockTime) {
        self.add_entry(entry, now);
        let wait = self.hello_wait(false);
        let known = self.vms.get_mut(&entry.vm.name);
        let Some(known) = known.filter(|vm| vm.entry.vm.incarnation == entry.vm.incarnation) else {
            return;
        };
        if known.last_contact >= Some(heard_at) {
            return;
        }
        let is_changed = known.lost || known.last_contact.is_none();
        if known.lost {
            known.restart_hellos(0, now);
            known.due_at = now + wait;
        }
        known.lost = false;
        known.last_contact = Some(heard_at);
        self.neighbours_stale |= is_changed;
    }

    /// Returns the control address of a VM that is to be asked for the VMs that it knows, if a
    /// request is due, and counts it as made. Call it several times a second.
    pub fn due_query(&mut self, now: ClockTime) -> Option<SocketAddr> {
        let peer = self.queries.start_due(&self.tuning, &mut self.random, now)?;
        let entry = peer.and_then(|peer| self.vms.get(&peer)).map(|vm: &MemberState| &vm.entry);
        match entry {
            Some(entry) => Some(entry.control_address),
            None => self.peers_to_ask(AskReach::Centre).first().copied(),
        }
    }

    /// Schedules a broadcast of this VM that it is alive. It is delayed at random, because many VMs
    /// may do so at once.
    pub fn schedule_presence(&mut self, now: ClockTime) {
        if self.presence_at.is_empty() {
            self.add_presence(now);
        }
    }

    /// Schedules that broadcast twice, because the first one may find VMs that still count others as
    /// lost and do not pass it on to them.
    pub(super) fn schedule_presence_twice(&mut self, now: ClockTime) {
        self.presence_at.clear();
        self.add_presence(now);
        self.add_presence(now + self.tuning.loss_repeat);
    }

    fn add_presence(&mut self, from: ClockTime) {
        let longest = self.tuning.presence_spacing.scaled((1 + self.vms.len()) as f64);
        self.presence_at.push(from + longest.scaled(self.random.unit()));
    }

    /// Returns whether that broadcast is due, and counts it as sent.
    pub fn take_presence(&mut self, now: ClockTime) -> bool {
        let waiting = self.presence_at.len();
        self.presence_at.retain(|at| *at > now);
        self.presence_at.len() < waiting
    }

    /// Returns whether this VM keeps a row about itself in the store, through which VMs that know no
    /// peer find the others: the first VM of each data centre in the order of names does.
    pub fn is_anchor(&self) -> bool {
        self.is_first_of_centre()
    }
}
