//! Gateway processes: starts `agateroad` with a settings file and reads its log.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use rustix::process::Signal;
use serde::Deserialize;
use serde_json::{Value, json};
use snafu::ResultExt;

use crate::document::TrialDocument;
use crate::error::{TrialError, WriteFileSnafu};
use crate::process::{self, ChildProcess};

/// The log file in the folder of a gateway.
const LOG_FILE: &str = "log";
/// The settings file in the folder of a gateway.
const SETTINGS_FILE: &str = "settings.json";
/// The interval between two checks of a log or of the exit of a process.
const POLL_PERIOD: Duration = Duration::from_millis(20);
/// The secret with which peers authenticate.
pub const PEER_SECRET: &str = "a-peer-secret-of-the-tests";
/// The secret with which operators authenticate.
pub const OPERATOR_SECRET: &str = "an-operator-secret-of-the-tests";

static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

/// The settings and command-line arguments in which the gateways of tests differ.
#[derive(Clone, Debug)]
pub struct GateSettings {
    /// The name of the VM.
    pub vm_name: String,
    /// The interface to callers, upstreams and the store: `agateroad` or `platform`.
    pub interface: &'static str,
    /// The data centre of the VM.
    pub centre: &'static str,
    /// The address of the platform.
    pub platform_address: SocketAddr,
    /// The control addresses of VMs that are asked for the others at the start, with the interface
    /// `platform`.
    pub peer_seeds: Vec<SocketAddr>,
    /// The secrets that are accepted from peers; the first one is sent to them.
    pub peer_secrets: Vec<&'static str>,
    /// The secrets that are accepted from operators.
    pub operator_secrets: Vec<&'static str>,
    /// The number of workers.
    pub workers: u32,
    /// The least severe level that is logged.
    pub log_level: &'static str,
    /// Whether the log is copied to a file. If not, nothing reads the pipe and it fills up.
    pub copy_log: bool,
    /// The format of the log: `json` or `text`.
    pub log_format: &'static str,
    /// The `timeouts` object of the settings.
    pub timeouts: Value,
    /// The `fleet` object of the settings: limits over all VMs.
    pub fleet: Value,
    /// Further command-line arguments.
    pub arguments: Vec<String>,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            vm_name: "vm-1".to_owned(),
            interface: "agateroad",
            centre: "medeu",
            peer_seeds: Vec::new(),
            peer_secrets: vec![PEER_SECRET],
            operator_secrets: vec![OPERATOR_SECRET],
            workers: 2,
            log_level: "warn",
            copy_log: true,
            log_format: "json",
            timeouts: json!({}),
            fleet: json!({}),
            // Nothing listens on this port.
            platform_address: ([127, 0, 0, 1], 1).into(),
            arguments: Vec::new(),
        }
    }
}

/// A gateway process. Dropping it kills the process and removes its folder.
#[derive(Debug)]
pub struct GateProcess {
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for peers and operators.
    pub control_address: SocketAddr,
    /// The address of metrics and readiness.
    pub metrics_address: SocketAddr,
    /// The child process.
    pub process: ChildProcess,
    folder: PathBuf,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ReadyLine {
    caller_address: SocketAddr,
    control_address: SocketAddr,
    metrics_address: SocketAddr,
}

impl GateProcess {
    /// Starts a gateway that reads this document from a file.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written or the process does not start.
    pub fn start(settings: &GateSettings, document: &TrialDocument) -> Result<Self, TrialError> {
        Self::start_with(settings, &document.to_bytes())
    }

    /// As [`GateProcess::start`], with the document as bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written or the process does not start.
    pub fn start_with(settings: &GateSettings, document: &[u8]) -> Result<Self, TrialError> {
        let folder = create_folder()?;
        let document_path = write_file(&folder, "document.json", document)?;
        Self::launch(settings, folder, vec!["--document".to_owned(), document_path])
    }

    /// Starts a gateway that reads its document from the platform and applies its changes.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written or the process does not start.
    pub fn start_from_platform(settings: &GateSettings) -> Result<Self, TrialError> {
        Self::launch(settings, create_folder()?, Vec::new())
    }

    fn launch(
        settings: &GateSettings,
        folder: PathBuf,
        mut arguments: Vec<String>,
    ) -> Result<Self, TrialError> {
        let settings_path = write_file(&folder, SETTINGS_FILE, &settings.to_bytes())?;
        arguments.extend(["--settings".to_owned(), settings_path]);
        arguments.extend(settings.arguments.iter().cloned());
        let path = process::binary("agateroad");
        let log = folder.join(LOG_FILE);
        let (process, ready): (_, ReadyLine) = if settings.copy_log {
            ChildProcess::start_logged(&path, &arguments, &log)?
        } else {
            ChildProcess::start(&path, &arguments)?
        };
        let ReadyLine { caller_address, control_address, metrics_address } = ready;
        Ok(Self { caller_address, control_address, metrics_address, process, folder })
    }
}

impl GateProcess {
    /// Replaces the settings file by a rename, so that the process never reads an incomplete file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn change_settings(&self, settings: &GateSettings) -> Result<(), TrialError> {
        let path = self.folder.join(SETTINGS_FILE);
        let next = write_file(&self.folder, "next-settings.json", &settings.to_bytes())?;
        std::fs::rename(next, &path).context(WriteFileSnafu { path: &path })
    }

    /// Returns the copied log, or an empty text if the log is not copied.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.log_path()).unwrap_or_default()
    }

    /// Starts to copy the log of a gateway that was started without `copy_log`.
    ///
    /// # Errors
    ///
    /// Returns an error if the log file cannot be created.
    pub fn start_log_copy(&mut self) -> Result<(), TrialError> {
        let log = self.log_path();
        self.process.copy_output(&log)
    }

    /// Returns the path of the log file.
    pub fn log_path(&self) -> PathBuf {
        self.folder.join(LOG_FILE)
    }

    /// Waits until the process has logged an event `count` times. Lines are written some time after
    /// the calls that they describe.
    pub async fn wait_for_event(&self, event: u32, count: usize) {
        while self.event_count(event) < count {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }

    /// Sends SIGTERM and waits until the process has exited and its log is complete.
    pub async fn stop(&mut self) {
        self.process.signal(Signal::TERM);
        while self.process.exit_success().is_none() {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }

    /// Returns how many times the process has logged an event, in a log in JSON.
    pub fn event_count(&self, event: u32) -> usize {
        let field = format!("\"event\":{event},");
        self.log().lines().filter(|line| line.contains(&field)).count()
    }
}

impl Drop for GateProcess {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("log of the gateway:\n{}", self.log());
        }
        // No test depends on the removal; a folder that remains is in the temporary directory.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn create_folder() -> Result<PathBuf, TrialError> {
    let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
    let name = format!("agateroad-trial-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).context(WriteFileSnafu { path: &folder })?;
    Ok(folder)
}

fn write_file(folder: &std::path::Path, name: &str, bytes: &[u8]) -> Result<String, TrialError> {
    let path = folder.join(name);
    std::fs::write(&path, bytes).context(WriteFileSnafu { path: &path })?;
    Ok(path.to_string_lossy().into_owned())
}

impl GateSettings {
    fn to_bytes(&self) -> Vec<u8> {
        let settings = json!({
            "vm_name": self.vm_name,
            "interface": self.interface,
            "environment": "trial",
            "data_centre": self.centre,
            "caller_address": "127.0.0.1:0",
            "control_address": "127.0.0.1:0",
            "metrics_address": "127.0.0.1:0",
            "exchange_address": "127.0.0.1:0",
            "platform_address": self.platform_address,
            "peer_seeds": self.peer_seeds,
            "peer_secrets": self.peer_secrets,
            "operator_secrets": self.operator_secrets,
            "worker_count": self.workers,
            "log_format": self.log_format,
            "log_level": self.log_level,
            "timeouts": self.timeouts,
            "fleet": self.fleet,
        });
        settings.to_string().into_bytes()
    }
}
