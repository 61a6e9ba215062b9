//! Follows the settings file: on SIGHUP, and when the file changes without one.

use std::path::PathBuf;
use std::time::SystemTime;

use base::prelude::*;
use border::{ProcessSettings, settings_change};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::event;

/// The time between two looks at the file. A look is one system call.
const LOOK_PERIOD: ClockSpan = ClockSpan::from_secs(2);

/// Takes over what takes effect while the process runs.
pub trait SettingsTarget: Send + 'static {
    /// Applies the changed settings.
    fn apply(&mut self, settings: &ProcessSettings);
}

/// The settings file and what was read from it last.
pub struct SettingsWatch<T> {
    path: PathBuf,
    settings: ProcessSettings,
    modified: Option<SystemTime>,
    hangup: Signal,
    target: T,
}

impl<T: SettingsTarget> SettingsWatch<T> {
    /// Returns a watch of the file from which `settings` were read.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be handled.
    pub fn new(path: PathBuf, settings: ProcessSettings, target: T) -> std::io::Result<Self> {
        let modified = modified(&path);
        let hangup = signal(SignalKind::hangup())?;
        Ok(Self { path, settings, modified, hangup, target })
    }

    /// Follows the file until it is dropped.
    pub async fn run(mut self) {
        loop {
            tokio::select! {
                _ = self.hangup.recv() => self.reload(),
                () = tokio::time::sleep(LOOK_PERIOD.to_duration()) => {
                    if modified(&self.path) != self.modified {
                        self.reload();
                    }
                }
            }
        }
    }

    /// Reads the file. Settings that cannot be used change nothing.
    fn reload(&mut self) {
        self.modified = modified(&self.path);
        let read = std::fs::read(&self.path).map_err(|error| error.to_string());
        let loaded =
            read.and_then(|bytes| border::load_settings(&bytes).map_err(|error| error.to_string()));
        let settings = match loaded {
            Ok(settings) => settings,
            Err(error) => {
                tracing::error!(event = event::SETTINGS_REFUSED, %error, "settings are not used");
                return;
            }
        };
        let change = settings_change(&self.settings, &settings);
        if change.is_empty() {
            return;
        }
        let (live, restart) = (change.live.join(" "), change.restart.join(" "));
        tracing::info!(event = event::SETTINGS_CHANGED, live, restart, "settings changed");
        self.target.apply(&settings);
        self.settings = settings;
    }
}

fn modified(path: &PathBuf) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|data| data.modified()).ok()
}
