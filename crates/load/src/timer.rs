//! A timer that waits for the intended times of calls.

use std::io;
use std::time::{Duration, Instant};

/// A timer with the resolution of the operating system. Tokio's timer has a resolution of 1 ms,
/// which is more than the latency that a gateway adds.
#[derive(Debug)]
pub(crate) struct ArrivalTimer {
    inner: system::SystemTimer,
}

impl ArrivalTimer {
    pub(crate) fn new() -> io::Result<Self> {
        Ok(Self { inner: system::SystemTimer::new()? })
    }

    /// Waits until `time`.
    pub(crate) async fn wait_until(&mut self, time: Instant) -> io::Result<()> {
        let remaining = time.saturating_duration_since(Instant::now());
        if remaining == Duration::ZERO {
            return Ok(());
        }
        self.inner.wait(remaining).await
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

    /// A timer whose file descriptor the event loop polls like that of a socket.
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

        pub(super) async fn wait(&mut self, duration: Duration) -> io::Result<()> {
            let zero = Timespec { tv_sec: 0, tv_nsec: 0 };
            let value = Timespec {
                tv_sec: duration.as_secs() as i64,
                tv_nsec: duration.subsec_nanos().into(),
            };
            let once = Itimerspec { it_interval: zero, it_value: value };
            timerfd_settime(self.timer.get_ref(), TimerfdTimerFlags::empty(), &once)?;
            loop {
                let mut ready = self.timer.readable().await?;
                let mut expirations = [0; 8];
                let result =
                    ready.try_io(|timer| Ok(read(timer.get_ref(), &mut expirations).map(drop)?));
                // An error means that the timer has not expired; `try_io` has cleared the
                // readiness.
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

    /// The timer of tokio.
    #[derive(Debug)]
    pub(super) struct SystemTimer;

    impl SystemTimer {
        pub(super) fn new() -> io::Result<Self> {
            Ok(Self)
        }

        pub(super) async fn wait(&mut self, duration: Duration) -> io::Result<()> {
            tokio::time::sleep(duration).await;
            Ok(())
        }
    }
}
