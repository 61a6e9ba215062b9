//! Graceful shutdown of a VM as a state machine. The caller performs its actions. The time limits
//! are in [`ShutdownTuning`].

use base::prelude::*;

use crate::tuning::ShutdownTuning;

/// Input of the state machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShutdownEvent {
    /// The process was asked to stop. A second signal stops it without waiting.
    Signal,
    /// Time has passed.
    Tick,
    /// The number of calls in flight.
    InFlight(u32),
    /// All leases were released.
    LeasesReleased,
}

/// What the gateway does in response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShutdownAction {
    /// Report "not ready" to the platform's load balancer.
    ReadinessOff,
    /// Tell the peers that this VM is shutting down.
    AnnounceShutdown,
    /// Accept new calls until the given time.
    KeepAccepting(ClockTime),
    /// Accept no further connections, and close connections after the call in progress.
    StopAccepting,
    /// Close connections without a call in progress.
    CloseIdle,
    /// Release the leases on deferred work.
    ReleaseLeases,
    /// End the process.
    Exit {
        /// Calls that are still in flight; zero unless a limit was reached or a second signal came.
        interrupted: u32,
    },
}

/// The stage of the shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShutdownStage {
    /// Not shutting down.
    Serving,
    /// Reported as not ready, but accepting calls until the given time.
    StillAccepting(ClockTime),
    /// Waiting for calls in flight, at most until the given time.
    AwaitingCalls(ClockTime),
    /// Waiting for leases to be released, at most until the given time.
    ReleasingLeases(ClockTime),
    /// The process ends.
    Exited,
}

/// The shutdown of a VM.
#[derive(Clone, Debug)]
pub struct ShutdownPlan {
    tuning: ShutdownTuning,
    stage: ShutdownStage,
    in_flight: u32,
    /// Whether `in_flight` was reported after the last accept. An earlier count of zero does not
    /// include calls that were accepted since.
    counted: bool,
}

impl ShutdownPlan {
    /// Creates the plan of a VM that serves calls.
    pub fn new(tuning: ShutdownTuning) -> Self {
        Self { tuning, stage: ShutdownStage::Serving, in_flight: 0, counted: false }
    }

    /// Returns the stage of the shutdown.
    pub fn stage(&self) -> ShutdownStage {
        self.stage
    }

    /// Applies an event and returns what to do, in order.
    pub fn handle(&mut self, event: ShutdownEvent, now: ClockTime) -> Vec<ShutdownAction> {
        if let ShutdownEvent::InFlight(count) = event {
            self.in_flight = count;
            self.counted = matches!(self.stage, ShutdownStage::AwaitingCalls(_));
        }
        match (self.stage, event) {
            (ShutdownStage::Exited, _) => Vec::new(),
            (ShutdownStage::Serving, ShutdownEvent::Signal) => self.start(now),
            (ShutdownStage::Serving, _) => Vec::new(),
            (
                ShutdownStage::ReleasingLeases(_),
                ShutdownEvent::Signal | ShutdownEvent::LeasesReleased,
            ) => {
                vec![self.exit()]
            }
            (_, ShutdownEvent::Signal) => vec![ShutdownAction::ReleaseLeases, self.exit()],
            (stage, _) => self.advance(stage, now),
        }
    }

    fn start(&mut self, now: ClockTime) -> Vec<ShutdownAction> {
        let until = now + self.tuning.drain_delay;
        self.stage = ShutdownStage::StillAccepting(until);
        vec![
            ShutdownAction::ReadinessOff,
            ShutdownAction::AnnounceShutdown,
            ShutdownAction::KeepAccepting(until),
        ]
    }

    fn advance(&mut self, stage: ShutdownStage, now: ClockTime) -> Vec<ShutdownAction> {
        match stage {
            ShutdownStage::StillAccepting(until) if now >= until => {
                self.stage = ShutdownStage::AwaitingCalls(now + self.tuning.finish_limit);
                vec![ShutdownAction::StopAccepting, ShutdownAction::CloseIdle]
            }
            ShutdownStage::AwaitingCalls(until) if self.is_idle() || now >= until => {
                self.stage = ShutdownStage::ReleasingLeases(now + self.tuning.release_limit);
                vec![ShutdownAction::ReleaseLeases]
            }
            ShutdownStage::ReleasingLeases(until) if now >= until => vec![self.exit()],
            _ => Vec::new(),
        }
    }

    fn is_idle(&self) -> bool {
        self.counted && self.in_flight == 0
    }

    fn exit(&mut self) -> ShutdownAction {
        self.stage = ShutdownStage::Exited;
        ShutdownAction::Exit { interrupted: self.in_flight }
    }
}
