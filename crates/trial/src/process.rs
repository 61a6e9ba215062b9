//! Child processes that print one JSON line when they are ready.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::thread::JoinHandle;

use rustix::process::{Pid, Signal, kill_process};
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};

use crate::error::{MissingSnafu, NotReadySnafu, StartSnafu, TrialError, WriteFileSnafu};

/// A child process. Dropping it kills it.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    output: ChildOutput,
}

/// The output after the first line.
#[derive(Debug)]
enum ChildOutput {
    /// It is not read, so that its pipe can fill up.
    Unread(BufReader<ChildStdout>),
    /// A thread copies it to a file until the process ends.
    Copied(Option<JoinHandle<()>>),
}

impl ChildProcess {
    /// Starts a program, waits for the first line of its output and parses this as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the program does not exist, does not start, or prints a first line that
    /// cannot be parsed as `T`.
    pub fn start<T: DeserializeOwned>(
        path: &Path,
        arguments: &[String],
    ) -> Result<(Self, T), TrialError> {
        ensure!(path.exists(), MissingSnafu { path });
        let mut child = Command::new(path)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .context(StartSnafu { path })?;
        let output = child.stdout.take().map(BufReader::new);
        let mut line = String::new();
        let read = output.map(|mut output| output.read_line(&mut line).map(|_| output));
        let ready = serde_json::from_str(&line);
        let mut process = match read {
            Some(Ok(output)) => Self { child, output: ChildOutput::Unread(output) },
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

    /// As [`ChildProcess::start`], and copies the rest of the output, the log, to a file.
    ///
    /// # Errors
    ///
    /// As [`ChildProcess::start`]; returns an error also if the file cannot be created.
    pub fn start_logged<T: DeserializeOwned>(
        path: &Path,
        arguments: &[String],
        log: &Path,
    ) -> Result<(Self, T), TrialError> {
        let (mut process, ready) = Self::start(path, arguments)?;
        process.copy_output(log)?;
        Ok((process, ready))
    }

    /// Copies the rest of the output to a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be created.
    pub fn copy_output(&mut self, log: &Path) -> Result<(), TrialError> {
        let mut file = File::create(log).context(WriteFileSnafu { path: log })?;
        let output = std::mem::replace(&mut self.output, ChildOutput::Copied(None));
        if let ChildOutput::Unread(mut output) = output {
            let copy_thread = std::thread::spawn(move || {
                // If the copy fails, as on a full disk, the log is incomplete and the test fails.
                let _ = std::io::copy(&mut output, &mut file);
            });
            self.output = ChildOutput::Copied(Some(copy_thread));
        }
        Ok(())
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        // Both fail only if the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.finish_log();
    }

    /// Waits until the log of a process that has exited is complete.
    fn finish_log(&mut self) {
        if let ChildOutput::Copied(copy_thread) = &mut self.output
            && let Some(copy_thread) = copy_thread.take()
        {
            // A panic of the thread has already been printed.
            let _ = copy_thread.join();
        }
    }

    /// Sends a signal to the process. Must not be called after the exit status was read, because
    /// the system can then use the id for another process.
    pub fn signal(&self, signal: Signal) {
        // Fails only if the process has exited already.
        if let Some(id) = i32::try_from(self.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(id, signal);
        }
    }

    /// Returns whether the process succeeded, or `None` while it runs.
    pub fn exit_success(&mut self) -> Option<bool> {
        let ended = match self.child.try_wait() {
            Ok(status) => status.map(|status| status.success()),
            Err(_) => Some(false),
        };
        if ended.is_some() {
            self.finish_log();
        }
        ended
    }

    /// Waits until the process exits by itself and returns whether it succeeded.
    pub fn wait(&mut self) -> bool {
        let succeeded = self.child.wait().is_ok_and(|status| status.success());
        self.finish_log();
        succeeded
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the folder that holds the programs of this build.
fn build_folder() -> PathBuf {
    let executable = std::env::current_exe().unwrap_or_default();
    let mut folder = executable.parent().unwrap_or(Path::new("."));
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
