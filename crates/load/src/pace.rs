//! Waits for intended times.

use std::io;
use std::time::{Duration, Instant};

/// A timer with the resolution of the system. The runtime's own timer has one of 1 ms, which is
/// more than the whole added latency that is to be measured.
#[derive(Debug)]
pub(crate) struct PaceTimer {
    inner: system::SystemTimer,
}

impl PaceTimer {
    pub(crate) fn new() -> io::Result<Self> {
        Ok(Self { inner: system::SystemTimer::new()? })
    }

    /// Waits until `moment`.
    pub(crate) async fn wait_until(&mut self, moment: Instant) -> io::Result<()> {
        let left = moment.saturating_duration_since(Instant::now());
        if left == Duration::ZERO {
            return Ok(());
        }
        self.inner.wait(left).await
    }
}

#[cfg(target_os = "linux")]
mod system {
    use std::io;
    use std::os::fd::OwnedFd;
    use std::time::Duration;

    use rustix::io::read;
    use rustix::time::{
        Itimerspec, TimerfdClockId, TimerfdFlags, TimerfdTimerFlags, Timespec, timerfd_create,
        timerfd_settime,
    };
    use tokio::io::unix::AsyncFd;

    /// A timer that the event loop waits for like a socket.
    #[derive(Debug)]
    pub(super) struct SystemTimer {
        timer: AsyncFd<OwnedFd>,
    }

    impl SystemTimer {
        #[expect(
            deprecated,
            reason = "the replacement is unsafe for the sake of types whose descriptor may change, \
                      which that of `OwnedFd` never does"
        )]
        pub(super) fn new() -> io::Result<Self> {
            let flags = TimerfdFlags::NONBLOCK | TimerfdFlags::CLOEXEC;
            let timer = timerfd_create(TimerfdClockId::Monotonic, flags)?;
            Ok(Self { timer: AsyncFd::new(timer)? })
        }

        pub(super) async fn wait(&mut self, span: Duration) -> io::Result<()> {
            let zero = Timespec { tv_sec: 0, tv_nsec: 0 };
            let value =
                Timespec { tv_sec: span.as_secs() as i64, tv_nsec: span.subsec_nanos().into() };
            let once = Itimerspec { it_interval: zero, it_value: value };
            timerfd_settime(self.timer.get_ref(), TimerfdTimerFlags::empty(), &once)?;
            loop {
                let mut ready = self.timer.readable().await?;
                let mut expirations = [0; 8];
                let result =
                    ready.try_io(|timer| Ok(read(timer.get_ref(), &mut expirations).map(drop)?));
                // An error here means that the event loop woke early; the readiness is cleared.
                if let Ok(result) = result {
                    return result;
                }
            }
        }
    }
}

#[cfg(not(target_os = "linux"))]
mod system {
    use std::io;
    use std::time::Duration;

    /// The runtime's own timer.
    #[derive(Debug)]
    pub(super) struct SystemTimer;

    impl SystemTimer {
        pub(super) fn new() -> io::Result<Self> {
            Ok(Self)
        }

        pub(super) async fn wait(&mut self, span: Duration) -> io::Result<()> {
            tokio::time::sleep(span).await;
            Ok(())
        }
    }
}
