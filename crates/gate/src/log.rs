//! The log on standard output.

use std::io::{self, Write};
use std::sync::mpsc::{self, Receiver, Sender};

use base::prelude::*;
use border::{LogFormat, LogLevel, ProcessSettings};
use prometheus::IntCounter;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Registry, reload};

use crate::event;

/// Lines that are buffered for the reader of standard output (design, section 10.1).
const BUFFER_LINES: usize = 4096;
/// The time between two checks for dropped lines. The design (section 10.1) allows one report of
/// them a second.
const DROP_CHECK_PERIOD: ClockSpan = ClockSpan::from_secs(1);

/// The log of the process. Dropping it writes the buffered lines, for at most a second.
pub struct ProcessLog {
    level: reload::Handle<EnvFilter, Registry>,
    dropped: ErrorCounter,
    // Dropped before the guard, which waits for the writer.
    output: OutputRelease,
    _guard: WorkerGuard,
}

/// Delays the log until the ready line is written or the start has failed.
struct OutputRelease(Option<Sender<()>>);

/// Changes the level of the log.
#[derive(Clone)]
pub struct LogLevelHandle(reload::Handle<EnvFilter, Registry>);

impl LogLevelHandle {
    /// Applies the level of the settings.
    pub fn apply(&self, settings: &ProcessSettings) {
        // The handle fails only after the log was dropped, when the process ends.
        let _ = self.0.reload(log_filter(settings));
    }
}

impl ProcessLog {
    /// Starts the log. Nothing is written before [`ProcessLog::write_ready_line`].
    pub fn start(settings: &ProcessSettings) -> Self {
        let (sender, release) = mpsc::channel();
        let builder = NonBlockingBuilder::default().buffered_lines_limit(BUFFER_LINES).lossy(true);
        let (writer, guard) = builder.finish(DelayedOutput { release: Some(release) });
        let dropped = writer.error_counter();
        let (filter, level) = reload::Layer::new(log_filter(settings));
        let log = tracing_subscriber::fmt::layer().with_ansi(false).with_writer(writer);
        let registry = tracing_subscriber::registry().with(filter);
        match settings.log_format {
            LogFormat::Json => registry.with(log.json()).init(),
            LogFormat::Text => registry.with(log).init(),
        }
        Self { level, dropped, output: OutputRelease(Some(sender)), _guard: guard }
    }

    /// Returns a handle that changes the level.
    pub fn level(&self) -> LogLevelHandle {
        LogLevelHandle(self.level.clone())
    }

    /// Writes the ready line to standard output, and then the log lines that were delayed.
    pub fn write_ready_line(&mut self, ready: &serde_json::Value) {
        println!("{ready}");
        self.output.0 = None;
    }

    /// Counts dropped lines in `counter` and logs them, until the future is dropped.
    pub fn report_dropped_lines(&self, counter: IntCounter) -> impl Future<Output = ()> + use<> {
        let dropped = self.dropped.clone();
        async move {
            loop {
                tokio::time::sleep(DROP_CHECK_PERIOD.to_duration()).await;
                let lost = (dropped.dropped_lines() as u64).saturating_sub(counter.get());
                if lost > 0 {
                    counter.inc_by(lost);
                    tracing::warn!(
                        event = event::LINES_DROPPED,
                        dropped = lost,
                        "log lines were dropped"
                    );
                }
            }
        }
    }
}

/// Standard output whose first write waits for the release of the log.
struct DelayedOutput {
    release: Option<Receiver<()>>,
}

impl Write for DelayedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Some(release) = self.release.take() {
            // Returns when the sender is dropped, which releases the log.
            let _ = release.recv();
        }
        io::stdout().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        io::stdout().flush()
    }
}

fn log_filter(settings: &ProcessSettings) -> EnvFilter {
    let level = match settings.log_level {
        LogLevel::Error => "error",
        LogLevel::Warn => "warn",
        LogLevel::Info => "info",
        LogLevel::Debug => "debug",
        LogLevel::Trace => "trace",
    };
    // hyper logs each connection; its level stays fixed.
    EnvFilter::new(format!("{level},hyper=error"))
}
