//! Follows the settings file: on SIGHUP, and when the file changes without one.

use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::time::SystemTime;

use base::prelude::*;
use border::{ProcessSettings, reloaded_settings, settings_change};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::event;

/// The time between two looks at the file. A look is one system call.
const LOOK_PERIOD: ClockSpan = ClockSpan::from_secs(2);

/// When a file was changed, its number and its length.
type FileMark = (SystemTime, u64, u64);

/// Takes over what takes effect while the process runs.
pub trait SettingsTarget: Send + 'static {
    /// Puts the settings in force after a change. Fields that need a restart are as before.
    fn apply(&self, settings: &ProcessSettings);
}

/// The settings file and what was read from it last.
pub struct SettingsWatch {
    path: PathBuf,
    /// What the file said last.
    settings: ProcessSettings,
    in_force: ProcessSettings,
    modified: Option<FileMark>,
    hangup: Signal,
}

impl SettingsWatch {
    /// Returns a watch of the file from which `settings` were read. From now on SIGHUP does not end
    /// the process.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be handled.
    pub fn new(path: PathBuf, settings: ProcessSettings) -> std::io::Result<Self> {
        let hangup = signal(SignalKind::hangup())?;
        Ok(Self { path, in_force: settings.clone(), settings, modified: None, hangup })
    }

    /// Follows the file until it is dropped. The first look reads the file, which may have changed
    /// while the process started.
    pub async fn run(mut self, target: impl SettingsTarget) {
        self.reload(&target);
        loop {
            tokio::select! {
                _ = self.hangup.recv() => self.reload(&target),
                () = tokio::time::sleep(LOOK_PERIOD.to_duration()) => {
                    if modified(&self.path) != self.modified {
                        self.reload(&target);
                    }
                }
            }
        }
    }

    /// Reads the file. Settings that cannot be used change nothing.
    fn reload(&mut self, target: &impl SettingsTarget) {
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
        if settings == self.settings {
            return;
        }
        let change = settings_change(&self.in_force, &settings);
        let (live, restart) = (change.live.join(" "), change.restart.join(" "));
        self.in_force = reloaded_settings(&self.in_force, &settings);
        target.apply(&self.in_force);
        self.settings = settings;
        tracing::info!(event = event::SETTINGS_CHANGED, live, restart, "settings changed");
    }
}

/// Returns what tells one version of the file from the next. Times of changes have steps of some
/// milliseconds, in which a file that was replaced differs by its number only.
fn modified(path: &PathBuf) -> Option<FileMark> {
    let data = std::fs::metadata(path).ok()?;
    Some((data.modified().ok()?, data.ino(), data.len()))
}
