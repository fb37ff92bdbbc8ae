//! The project's gateway, as a process of its own.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::wire::{Message, read_message};

pub struct Gateway {
    pub name: String,
    child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub lookup: SocketAddr,
    folder: PathBuf,
}

/// Returns free addresses of a machine, which has an IP address of its own: outgoing connections, which
/// have another, can't take the ports meanwhile.
fn free_addresses<const N: usize>(machine: usize) -> [SocketAddr; N] {
    let any = SocketAddr::from(([127, 0, 7, 10 + machine as u8], 0));
    let listeners: [TcpListener; N] = std::array::from_fn(|_| TcpListener::bind(any).unwrap());
    listeners.map(|listener| listener.local_addr().unwrap())
}

/// Sends a GET request on a channel of its own.
pub fn get(address: SocketAddr, path: &str) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut stream, &mut Vec::new())
}

impl Gateway {
    /// Starts the program with the command of the deploy file and the settings of its template.
    pub fn start(folder: &Path, machine: usize, zone: &str, store: SocketAddr) -> Self {
        let name = &format!("front-{machine}");
        let [callers, ready, lookup, peer, metrics] = free_addresses(machine);
        let settings = folder.join(format!("{name}.yaml"));
        let text = format!(
            "node: \"{name}\"\ndata_centre: \"{zone}\"\ncaller_listen: \"{callers}\"\nready_listen: \"{ready}\"\n\
             lookup_listen: \"{lookup}\"\npeer_listen: \"{peer}\"\nmetrics_listen: \"{metrics}\"\n\
             store: \"{store}\"\naddress_ttl_ms: 2000\nstore_timeout_ms: 600\nwatch_wait_ms: 2000\nstop_s: 8\n\
             retry_ratio: 0.2\nretry_extra: 107\nload_window_s: 5\nconfig_apply_ms: 2000\ncores: 0.25\n\
             log_level: info\n"
        );
        fs::write(&settings, text).unwrap();
        let child = spawn(folder, name);
        Self { name: name.to_owned(), child, callers, ready, lookup, folder: folder.to_owned() }
    }

    /// Starts the program again, at the same addresses, after it has ended.
    pub fn restart(&mut self) {
        self.child = spawn(&self.folder, &self.name);
    }

    /// Waits until the process has ended; kills it after `time`, as the platform does.
    pub fn wait_end(&mut self, time: Duration) {
        let deadline = Instant::now() + time;
        while matches!(self.child.try_wait(), Ok(None)) {
            if Instant::now() > deadline {
                self.child.kill().ok();
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns the resident memory of the process, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        let status =
            fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
        line.trim().trim_end_matches(" kB").parse::<u64>().unwrap_or(0) * 1024
    }

    pub fn is_ready(&self) -> bool {
        get(self.ready, "/api/readiness").is_some_and(|answer| answer.status() == 200)
    }

    pub fn signal(&self, signal: &str) {
        // Every shell has this command; a program of this name may be missing.
        Command::new("sh")
            .args(["-c", &format!("kill {signal} {}", self.child.id())])
            .status()
            .ok();
    }
}

fn spawn(folder: &Path, name: &str) -> Child {
    let open =
        |file: &str| OpenOptions::new().create(true).append(true).open(folder.join(file)).unwrap();
    let output = open(&format!("{name}.log"));
    let child = Command::new("target/release/celeryhaven-platform")
        .arg("--settings")
        .arg(folder.join(format!("{name}.yaml")))
        .stdin(Stdio::null())
        .stderr(output.try_clone().unwrap())
        .stdout(output)
        .spawn()
        .expect("the gateway of the deploy file must be built");
    writeln!(open("pids"), "{}", child.id()).unwrap();
    child
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Waits until all gateways are ready; returns whether they are.
pub fn wait_ready(gateways: &[Gateway], time: Duration) -> bool {
    let deadline = Instant::now() + time;
    while !gateways.iter().all(Gateway::is_ready) {
        if Instant::now() > deadline {
            return false;
        }
        thread::sleep(Duration::from_millis(50));
    }
    true
}
