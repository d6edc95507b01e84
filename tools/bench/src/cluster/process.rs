//! A process of a program under test.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use crate::error::BenchError;

/// Interval at which a process that ends is polled.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A process, which is killed when this value is dropped.
pub(crate) struct Process {
    program: PathBuf,
    settings: PathBuf,
    child: Child,
}

impl Process {
    /// Writes the settings to a file and starts the program beside the bench's own binary with it.
    ///
    /// # Errors
    ///
    /// [`BenchError::MissingProgram`] when the program was not built.
    pub(crate) fn start(
        program: &str,
        folder: &Path,
        name: &str,
        settings: &Value,
    ) -> Result<Self, BenchError> {
        let program = program_path(program)?;
        let file = folder.join(format!("{name}.yaml"));
        std::fs::write(&file, serde_json::to_vec_pretty(settings)?)?;
        let child = spawn(&program, &file)?;
        Ok(Self {
            program,
            settings: file,
            child,
        })
    }

    /// Kills the process if it still runs, and starts the program again with the same settings.
    ///
    /// # Errors
    ///
    /// [`BenchError::Io`] when it can't be started.
    pub(crate) fn restart(&mut self) -> Result<(), BenchError> {
        self.kill();
        self.child = spawn(&self.program, &self.settings)?;
        Ok(())
    }

    /// Returns the process id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process (SIGKILL) and waits for its end.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process (SIGSTOP). Its connections stay open.
    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process (SIGCONT).
    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to drain and end (SIGTERM).
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the end of the process; returns `None` if it still runs after `limit`.
    pub(crate) fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return Some(status),
                _ if start.elapsed() > limit => return None,
                _ => std::thread::sleep(EXIT_POLL_INTERVAL),
            }
        }
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            // Fails only if the process has ended, which needs no signal.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(program: &Path, settings: &Path) -> Result<Child, BenchError> {
    let log = File::options()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"))?;
    let child = Command::new(program)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    Ok(child)
}

fn program_path(program: &str) -> Result<PathBuf, BenchError> {
    let own = std::env::current_exe()?;
    let path = own.with_file_name(program);
    match path.exists() {
        true => Ok(path),
        false => Err(BenchError::MissingProgram(path)),
    }
}
