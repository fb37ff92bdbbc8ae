use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::param::clock_ticks_per_second;
use rustix::process::{Pid, Signal, kill_process};
use smol::Timer;

use crate::process::binary;

/// Threads that a stand-in's executor uses.
const THREADS: &str = "2";

/// A child process whose output goes to a file; killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program of this workspace; its output goes to `FOLDER/NAME.log`.
    pub fn start(
        folder: &Path,
        name: &str,
        program: &str,
        arguments: &[String],
    ) -> io::Result<Self> {
        let log = folder.join(format!("{name}.log"));
        let output = File::options().create(true).append(true).open(&log)?;
        let mut command = Command::new(binary(program));
        if program.starts_with("stand-in") {
            command.env("SMOL_THREADS", THREADS);
        }
        let child = command
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()
            .map_err(|error| {
                let hint = format!("{program} does not start; run `cargo build --workspace`");
                io::Error::new(error.kind(), format!("{hint}: {error}"))
            })?;
        Ok(Self { name: name.to_owned(), child, log })
    }

    /// Its name in this fleet.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where its output goes.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Its identity for the system.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Processor time it has used, user and system together; `None` if it has ended.
    pub fn cpu_time(&self) -> Option<Duration> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        // The name in parentheses may hold spaces; user time is the 12th field after it.
        let (_, after_name) = stat.rsplit_once(')')?;
        let ticks = after_name.split_whitespace().skip(11).take(2);
        let ticks = ticks.filter_map(|field| field.parse::<u64>().ok()).sum::<u64>();
        Some(Duration::from_secs_f64(ticks as f64 / clock_ticks_per_second() as f64))
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills it at once, as the loss of a VM does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends it, as a paused VM.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on after a pause.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks it to stop; it finishes what runs.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until it has ended; `None` if it has not by then.
    pub async fn wait(&mut self, longest: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < longest {
            if let Some(status) = self.ended() {
                return Some(status);
            }
            Timer::after(Duration::from_millis(20)).await;
        }
        None
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
