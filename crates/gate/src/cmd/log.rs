//! The log of the process and its level.

use border::{LogFormat, LogLevel, ProcessSettings};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Registry, reload};

/// Changes the level of the log.
pub(super) type LogHandle = reload::Handle<EnvFilter, Registry>;

/// Starts the log.
pub(super) fn start_log(settings: &ProcessSettings) -> LogHandle {
    let (filter, handle) = reload::Layer::new(log_filter(settings));
    let log = tracing_subscriber::fmt::layer().with_writer(std::io::stderr);
    let registry = tracing_subscriber::registry().with(filter);
    match settings.log_format {
        LogFormat::Json => registry.with(log.json()).init(),
        LogFormat::Text => registry.with(log).init(),
    }
    handle
}

/// Returns what is logged.
pub(super) fn log_filter(settings: &ProcessSettings) -> EnvFilter {
    let level = match settings.log_level {
        LogLevel::Error => "error",
        LogLevel::Warn => "warn",
        LogLevel::Info => "info",
        LogLevel::Debug => "debug",
        LogLevel::Trace => "trace",
    };
    // The HTTP library logs each connection; its level stays fixed.
    EnvFilter::new(format!("{level},hyper=error"))
}
