//! Child processes that print one JSON line when they are ready.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};

use crate::error::{MissingSnafu, NotReadySnafu, StartSnafu, TrialError, WriteFileSnafu};

/// A child process. Dropping it kills it.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    _output: BufReader<ChildStdout>,
}

impl ChildProcess {
    /// Starts a program and waits until it prints its first line, which is returned as well.
    ///
    /// # Errors
    ///
    /// Fails if the program does not start or its first line cannot be read as `T`.
    pub fn start<T: DeserializeOwned>(
        path: &Path,
        arguments: &[String],
    ) -> Result<(Self, T), TrialError> {
        Self::start_with(path, arguments, Stdio::inherit())
    }

    /// As [`ChildProcess::start`], with the log in a file.
    ///
    /// # Errors
    ///
    /// Fails also if the file cannot be created.
    pub fn start_logged<T: DeserializeOwned>(
        path: &Path,
        arguments: &[String],
        log: &Path,
    ) -> Result<(Self, T), TrialError> {
        let file = File::create(log).context(WriteFileSnafu { path: log })?;
        Self::start_with(path, arguments, Stdio::from(file))
    }

    fn start_with<T: DeserializeOwned>(
        path: &Path,
        arguments: &[String],
        log: Stdio,
    ) -> Result<(Self, T), TrialError> {
        ensure!(path.exists(), MissingSnafu { path });
        let mut child = Command::new(path)
            .args(arguments)
            .stderr(log)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .context(StartSnafu { path })?;
        let output = child.stdout.take().map(BufReader::new);
        let mut line = String::new();
        let read = output.map(|mut output| output.read_line(&mut line).map(|_| output));
        let ready = serde_json::from_str(&line);
        let mut process = match read {
            Some(Ok(output)) => Self { child, _output: output },
            _ => return NotReadySnafu { path, line }.fail(),
        };
        match ready {
            Ok(ready) => Ok((process, ready)),
            Err(_) => {
                process.kill();
                NotReadySnafu { path, line }.fail()
            }
        }
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // Both fail only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal to the process, which has not been waited for.
    pub fn signal(&self, signal: Signal) {
        // Fails only if the process has ended already.
        if let Some(id) = i32::try_from(self.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(id, signal);
        }
    }

    /// Returns whether the process succeeded, or `None` while it runs.
    pub fn ended(&mut self) -> Option<bool> {
        match self.child.try_wait() {
            Ok(status) => status.map(|status| status.success()),
            Err(_) => Some(false),
        }
    }

    /// Waits until the process ends by itself and returns whether it succeeded.
    pub fn wait(&mut self) -> bool {
        self.child.wait().is_ok_and(|status| status.success())
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the folder that holds the programs of this build.
fn build_folder() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let mut folder = own.parent().unwrap_or(Path::new("."));
    if folder.ends_with("deps") || folder.ends_with("examples") {
        folder = folder.parent().unwrap_or(folder);
    }
    folder.to_owned()
}

/// Returns the path of a binary of the workspace.
pub fn binary(name: &str) -> PathBuf {
    build_folder().join(name)
}

/// Returns the path of an example of the workspace.
pub fn example(name: &str) -> PathBuf {
    build_folder().join("examples").join(name)
}
