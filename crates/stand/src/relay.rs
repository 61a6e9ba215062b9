//! Relays bytes between the caller and the target of a proxied connection, with the delays and
//! limits of the plan.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use base::prelude::*;
use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::proxy::{ProxyCore, ProxyDirection, ProxyPlan};

/// The most bytes that are read at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks that are queued in one direction. Bounds the memory of a connection to 1 MiB a direction.
const MAX_QUEUED_CHUNKS: usize = 64;

/// How a relay ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RelayEnd {
    /// Caller and target closed the connection.
    Closed,
    /// One side failed, for example by a reset. The other side must get a reset too, not a close.
    Failed,
    /// The limit of answer bytes was reached; the connection was closed without a reset.
    Truncated,
    /// The proxy has to reset the connection.
    Cut,
    /// The proxy has to keep the connection open without relaying bytes.
    Silent,
}

/// One proxied connection.
#[derive(Debug)]
pub(crate) struct Relay<'a> {
    core: &'a ProxyCore,
    seed: u64,
    started: Instant,
    /// When bytes were last relayed, in milliseconds since the start.
    active_ms: AtomicU64,
    /// Bytes relayed in both directions together.
    passed_bytes: AtomicU64,
    /// Bytes of answers relayed.
    answered_bytes: AtomicU64,
    /// Whether bytes of a request were read after the first bytes of the previous answer.
    request_passed: AtomicBool,
}

impl<'a> Relay<'a> {
    pub(crate) fn new(core: &'a ProxyCore, seed: u64) -> Self {
        Self {
            core,
            seed,
            started: Instant::now(),
            active_ms: AtomicU64::new(0),
            passed_bytes: AtomicU64::new(0),
            answered_bytes: AtomicU64::new(0),
            request_passed: AtomicBool::new(false),
        }
    }

    /// Returns the time since bytes were last relayed.
    pub(crate) fn idle(&self) -> Duration {
        let active = Duration::from_millis(self.active_ms.load(Ordering::Relaxed));
        self.started.elapsed().saturating_sub(active)
    }

    /// Relays bytes until the connection ends.
    pub(crate) async fn run(&self, caller: &mut TcpStream, target: &mut TcpStream) -> RelayEnd {
        let (caller_read, caller_write) = caller.split();
        let (target_read, target_write) = target.split();
        let result = tokio::try_join!(
            self.pass(ProxyDirection::ToTarget, caller_read, target_write),
            self.pass(ProxyDirection::ToCaller, target_read, caller_write),
        );
        result.err().unwrap_or(RelayEnd::Closed)
    }

    /// Relays bytes in one direction until its sender closes it.
    ///
    /// # Errors
    ///
    /// Returns how the relay ended if the whole connection has to end.
    async fn pass(
        &self,
        direction: ProxyDirection,
        reader: ReadHalf<'_>,
        writer: WriteHalf<'_>,
    ) -> Result<(), RelayEnd> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
        tokio::try_join!(
            self.read(direction, reader, sender),
            self.write(direction, writer, receiver)
        )?;
        Ok(())
    }

    /// Reads chunks and queues each with the time at which it is due, after its delay.
    async fn read(
        &self,
        direction: ProxyDirection,
        mut reader: ReadHalf<'_>,
        sender: mpsc::Sender<(Instant, Bytes)>,
    ) -> Result<(), RelayEnd> {
        let mut random = RandomSource::from_seed(self.seed ^ direction as u64);
        let mut last_due = Instant::now();
        loop {
            let mut buffer = BytesMut::with_capacity(CHUNK_BYTES);
            let length = reader.read_buf(&mut buffer).await.map_err(|_| RelayEnd::Failed)?;
            if length == 0 {
                return Ok(());
            }
            match direction {
                ProxyDirection::ToTarget => self.request_passed.store(true, Ordering::SeqCst),
                ProxyDirection::ToCaller => {
                    if self.request_passed.swap(false, Ordering::SeqCst) && self.core.loses_answer()
                    {
                        return Err(RelayEnd::Cut);
                    }
                }
            }
            let due = Instant::now() + chunk_delay(&self.core.plan(), &mut random);
            last_due = last_due.max(due);
            if sender.send((last_due, buffer.freeze())).await.is_err() {
                return Err(RelayEnd::Closed);
            }
        }
    }

    /// Writes queued chunks when they are due, as far as bandwidth, hold and limits of the plan
    /// permit.
    async fn write(
        &self,
        direction: ProxyDirection,
        mut writer: WriteHalf<'_>,
        mut receiver: mpsc::Receiver<(Instant, Bytes)>,
    ) -> Result<(), RelayEnd> {
        let mut line_free_at = Instant::now();
        while let Some((due, chunk)) = receiver.recv().await {
            let plan = self.core.plan();
            line_free_at = line_free_at.max(due) + transmission_time(&plan, chunk.len());
            sleep_until(line_free_at).await;
            self.core.wait_until_released(direction).await;
            let (length, end) = self.apply_limits(&plan, direction, chunk.len() as u64);
            let allowed = &chunk[..length as usize];
            writer.write_all(allowed).await.map_err(|_| RelayEnd::Failed)?;
            self.core.count(|counts| match direction {
                ProxyDirection::ToTarget => counts.bytes_to_target += length,
                ProxyDirection::ToCaller => counts.bytes_to_caller += length,
            });
            if let Some(end) = end {
                if end == RelayEnd::Truncated {
                    let _ = writer.shutdown().await;
                }
                return Err(end);
            }
        }
        // The other direction may still have bytes to relay.
        let _ = writer.shutdown().await;
        Ok(())
    }

    /// Returns how many bytes of a chunk may be relayed, and how the relay ends after them, if it
    /// does.
    fn apply_limits(
        &self,
        plan: &ProxyPlan,
        direction: ProxyDirection,
        length: u64,
    ) -> (u64, Option<RelayEnd>) {
        let active_ms = self.started.elapsed().as_millis() as u64;
        self.active_ms.store(active_ms, Ordering::Relaxed);
        let passed_bytes = self.passed_bytes.fetch_add(length, Ordering::SeqCst);
        let mut allowance = (length, None);
        if let Some(limit) = plan.cut_after_bytes {
            allowance = limit_to(allowance, limit.saturating_sub(passed_bytes), RelayEnd::Cut);
        }
        if direction == ProxyDirection::ToCaller {
            let answered_bytes = self.answered_bytes.fetch_add(length, Ordering::SeqCst);
            if let Some(limit) = plan.truncate_after_bytes {
                let remaining = limit.saturating_sub(answered_bytes);
                allowance = limit_to(allowance, remaining, RelayEnd::Truncated);
            }
        }
        allowance
    }
}

/// Shortens an allowance to a limit that is reached after `remaining` further bytes.
fn limit_to(
    allowance: (u64, Option<RelayEnd>),
    remaining: u64,
    end: RelayEnd,
) -> (u64, Option<RelayEnd>) {
    if remaining <= allowance.0 { (remaining, Some(end)) } else { allowance }
}

/// Returns the delay of a chunk, with its jitter.
fn chunk_delay(plan: &ProxyPlan, random: &mut RandomSource) -> Duration {
    let jitter = if plan.jitter_ms > 0.0 { random.unit() * plan.jitter_ms } else { 0.0 };
    ClockSpan::from_millis_f64(plan.delay_ms + jitter).to_duration()
}

/// Returns the transmission time of a chunk of `length` bytes.
fn transmission_time(plan: &ProxyPlan, length: usize) -> Duration {
    match plan.bytes_per_second {
        Some(rate) => Duration::from_secs_f64(length as f64 / rate.max(1) as f64),
        None => Duration::ZERO,
    }
}

/// Sleeps until a moment. If it has passed, the timer is not used, because it would suspend the
/// task.
async fn sleep_until(moment: Instant) {
    if moment > Instant::now() {
        tokio::time::sleep_until(moment).await;
    }
}
