//! Permit for isolated runs of suspects, one at a time.

use base::prelude::*;

use crate::tuning::SuspectTuning;

/// A reserved run that has not started within this time no longer blocks the next one.
const RESERVATION_SPAN: ClockSpan = ClockSpan::from_secs(1);

/// Where an isolated run that the owner VM permits takes place.
#[derive(Clone, Debug, Eq, PartialEq)]
enum RunPlace {
    /// On this VM, on the named upstream once it has started.
    Local { upstream: Option<SharedName> },
    /// On another VM.
    Remote { vm: SharedName },
}

#[derive(Clone, Debug)]
struct CurrentRun {
    fingerprint: u64,
    since: ClockTime,
    place: RunPlace,
}

/// Permits at most one isolated run at a time. The suspects of one crash have the same owner VM, so
/// that the cause never runs at the same time as unrelated suspects, which would then be in flight
/// at a second crash.
#[derive(Debug, Default)]
pub struct IsolationPermit {
    current: Option<CurrentRun>,
}

impl IsolationPermit {
    fn is_free(&self, tuning: &SuspectTuning, now: ClockTime) -> bool {
        self.current.as_ref().is_none_or(|run| {
            let span = match run.place {
                RunPlace::Local { upstream: None } => RESERVATION_SPAN,
                RunPlace::Local { .. } | RunPlace::Remote { .. } => tuning.isolation_span,
            };
            now.since(run.since) > span
        })
    }

    fn take(&mut self, run: CurrentRun, tuning: &SuspectTuning) -> bool {
        let free = self.is_free(tuning, run.since);
        if free {
            self.current = Some(run);
        }
        free
    }

    pub fn reserve(&mut self, fingerprint: u64, tuning: &SuspectTuning, now: ClockTime) -> bool {
        let place = RunPlace::Local { upstream: None };
        self.take(CurrentRun { fingerprint, since: now, place }, tuning)
    }

    pub fn grant(
        &mut self,
        fingerprint: u64,
        vm: &SharedName,
        tuning: &SuspectTuning,
        now: ClockTime,
    ) -> bool {
        let place = RunPlace::Remote { vm: vm.clone() };
        self.take(CurrentRun { fingerprint, since: now, place }, tuning)
    }

    /// Starts the run that is reserved for `fingerprint` and returns whether there is one.
    pub fn start(&mut self, fingerprint: u64, upstream: &SharedName, now: ClockTime) -> bool {
        let run = self.current.as_mut().filter(|run| run.fingerprint == fingerprint);
        let Some(run) = run else { return false };
        let reserved = run.place == RunPlace::Local { upstream: None };
        if reserved {
            run.place = RunPlace::Local { upstream: Some(upstream.clone()) };
            run.since = now;
        }
        reserved
    }

    /// Frees the permit if a run of `fingerprint` on `upstream` holds it, and returns whether it
    /// did.
    pub fn finish(&mut self, fingerprint: u64, upstream: &SharedName) -> bool {
        let place = RunPlace::Local { upstream: Some(upstream.clone()) };
        let ended = |run: &mut CurrentRun| run.fingerprint == fingerprint && run.place == place;
        self.current.take_if(ended).is_some()
    }

    /// Frees the permit if it is reserved for `fingerprint`, and returns whether it was.
    pub fn cancel(&mut self, fingerprint: u64) -> bool {
        let place = RunPlace::Local { upstream: None };
        let reserved = |run: &mut CurrentRun| run.fingerprint == fingerprint && run.place == place;
        self.current.take_if(reserved).is_some()
    }

    /// Frees the permit if it is granted to `vm` for `fingerprint`, and returns whether it was.
    pub fn release_grant(&mut self, fingerprint: u64, vm: &str) -> bool {
        let granted = |run: &mut CurrentRun| {
            let place = matches!(&run.place, RunPlace::Remote { vm: holder } if *holder == *vm);
            run.fingerprint == fingerprint && place
        };
        self.current.take_if(granted).is_some()
    }
}
