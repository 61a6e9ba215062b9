//! An upstream stand-in: an HTTP server that follows an [`UpstreamPlan`], which can be changed
//! while it runs.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::answer;
use crate::counts::UpstreamCounts;
use crate::dialect::UpstreamDialect;
use crate::error::StandError;
use crate::native::NativeDialect;
use crate::plan::UpstreamPlan;
use crate::port::StandPort;
use crate::slot::LoadFigures;
use crate::state::UpstreamCore;
use crate::web;

/// A running upstream stand-in that speaks the dialect `D`, by default the native one. It stops
/// when it is dropped.
#[derive(Debug)]
pub struct UpstreamStand<D = NativeDialect> {
    core: Arc<UpstreamCore>,
    address: SocketAddr,
    admin_address: SocketAddr,
    tasks: JoinSet<()>,
    dialect: PhantomData<D>,
}

impl UpstreamStand {
    /// Starts an upstream with the native dialect in the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if one of the two addresses cannot be bound.
    pub async fn start(plan: UpstreamPlan) -> Result<Self, StandError> {
        Self::start_with_dialect(plan).await
    }
}

impl<D: UpstreamDialect> UpstreamStand<D> {
    /// Starts an upstream with the dialect `D` in the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if one of the two addresses cannot be bound.
    pub async fn start_with_dialect(plan: UpstreamPlan) -> Result<Self, StandError> {
        let (port, control) = StandPort::open(plan.listen)?;
        let (admin_port, admin_control) = StandPort::open(plan.admin_listen)?;
        let (address, admin_address) = (port.address(), admin_port.address());
        let core = UpstreamCore::new(plan, control);
        let mut tasks = JoinSet::new();
        tasks.spawn(accept::<D>(core.clone(), port));
        tasks.spawn(web::serve_port(admin_port, admin_control, core.clone(), answer::administer));
        Ok(Self { core, address, admin_address, tasks, dialect: PhantomData })
    }

    /// Returns the address for requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the admin interface.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the current plan.
    pub fn plan(&self) -> UpstreamPlan {
        (*self.core.plan()).clone()
    }

    /// Replaces the plan. The addresses and the seed of the service times keep their values.
    pub fn set_plan(&self, plan: UpstreamPlan) {
        self.core.update(|current| *current = plan);
    }

    /// Changes fields of the current plan.
    pub fn update(&self, change: impl FnOnce(&mut UpstreamPlan)) {
        self.core.update(change);
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> UpstreamCounts {
        self.core.counts()
    }

    /// Returns the current load, even if the plan makes the upstream report another one.
    pub fn figures(&self) -> LoadFigures {
        self.core.figures()
    }

    /// Waits until the counters and the current load meet a condition.
    pub async fn wait_for(&self, condition: impl Fn(&UpstreamCounts, LoadFigures) -> bool) {
        self.core.wait_for(condition).await;
    }

    /// Crashes the upstream, as a request with the crash marker does.
    pub fn crash(&self) {
        self.core.crash();
    }

    /// Closes the connections that have no request in flight, without notice.
    pub fn close_idle(&self) {
        self.core.close_idle();
    }

    /// Waits until the upstream accepts connections (`listening`) or refuses them (`!listening`).
    pub async fn wait_listening(&self, listening: bool) {
        self.core.port().wait_listening(listening).await;
    }

    /// Restarts a crashed upstream without waiting for the planned restart.
    pub fn restart(&self) {
        self.core.restart(None);
    }

    /// Stops and waits until the addresses are free for another listener. A child process that is
    /// being started at the same time holds copies of the listeners until its exec, so the
    /// addresses may be free a little later.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

impl<D> Drop for UpstreamStand<D> {
    fn drop(&mut self) {
        self.core.stop();
    }
}

async fn accept<D: UpstreamDialect>(core: Arc<UpstreamCore>, port: StandPort) {
    port.run(|stream, cut| {
        let idle_since = watch::Sender::new(Some(core.idle_epoch()));
        let Some(guard) = core.register_connection() else { return };
        let core = core.clone();
        tokio::spawn(async move {
            let idle_wait = core.wait_idle(idle_since.subscribe());
            let handler = |request| async {
                idle_since.send_replace(None);
                let answer = answer::serve::<D>(core.clone(), request).await;
                idle_since.send_replace(Some(core.idle_epoch()));
                answer
            };
            web::serve_scripted(stream, cut, idle_wait, handler).await;
            drop(guard);
        });
    })
    .await;
}
