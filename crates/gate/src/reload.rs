//! Reloads the settings file on SIGHUP, and when the file changes without a signal.

use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::time::SystemTime;

use base::prelude::*;
use border::{ProcessSettings, reloaded_settings, settings_change};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::event;

/// The time between two checks of the file for changes. A check is one system call.
const CHECK_PERIOD: ClockSpan = ClockSpan::from_secs(2);

/// The modification time of a file, its inode number and its length.
type FileStamp = (SystemTime, u64, u64);

/// Applies settings that can change while the process runs.
pub trait SettingsTarget: Send + 'static {
    /// Applies changed settings. Fields that need a restart keep the value from the start.
    fn apply(&self, settings: &ProcessSettings);
}

/// Watches the settings file and applies its changes.
pub struct SettingsWatch {
    path: PathBuf,
    /// The settings that were last read from the file.
    settings: ProcessSettings,
    /// The settings in use: those last read, with the values from the start in the fields that need
    /// a restart.
    applied: ProcessSettings,
    stamp: Option<FileStamp>,
    hangup: Signal,
}

impl SettingsWatch {
    /// Returns a watch of the file from which `settings` were read. From then on, SIGHUP does not
    /// end the process.
    ///
    /// # Errors
    ///
    /// Fails if the handler of SIGHUP cannot be installed.
    pub fn new(path: PathBuf, settings: ProcessSettings) -> std::io::Result<Self> {
        let hangup = signal(SignalKind::hangup())?;
        Ok(Self { path, applied: settings.clone(), settings, stamp: None, hangup })
    }

    /// Watches the file until it is dropped. It is read first, because it may have changed while
    /// the process started.
    pub async fn run(mut self, target: impl SettingsTarget) {
        self.reload(&target);
        loop {
            tokio::select! {
                _ = self.hangup.recv() => self.reload(&target),
                () = tokio::time::sleep(CHECK_PERIOD.to_duration()) => {
                    if file_stamp(&self.path) != self.stamp {
                        self.reload(&target);
                    }
                }
            }
        }
    }

    /// Reads the file. If the settings are invalid, nothing changes.
    fn reload(&mut self, target: &impl SettingsTarget) {
        self.stamp = file_stamp(&self.path);
        let read = std::fs::read(&self.path).map_err(|error| error.to_string());
        let loaded =
            read.and_then(|bytes| border::load_settings(&bytes).map_err(|error| error.to_string()));
        let settings = match loaded {
            Ok(settings) => settings,
            Err(error) => {
                tracing::error!(
                    event = event::SETTINGS_REFUSED,
                    %error,
                    "invalid settings are ignored"
                );
                return;
            }
        };
        if settings == self.settings {
            return;
        }
        let change = settings_change(&self.applied, &settings);
        let (live, restart) = (change.live.join(" "), change.restart.join(" "));
        self.applied = reloaded_settings(&self.applied, &settings);
        target.apply(&self.applied);
        self.settings = settings;
        tracing::info!(event = event::SETTINGS_CHANGED, live, restart, "settings changed");
    }
}

/// Returns the stamp that distinguishes versions of the file. Modification times have a resolution
/// of some milliseconds, within which a file that was replaced differs only in its inode number.
fn file_stamp(path: &PathBuf) -> Option<FileStamp> {
    let data = std::fs::metadata(path).ok()?;
    Some((data.modified().ok()?, data.ino(), data.len()))
}
