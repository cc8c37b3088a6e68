//! A node as a process of its own.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::time::Duration;
use std::time::Instant;

use rustix::process::kill_process;
use rustix::process::Pid;
use rustix::process::Signal;

/// Ports of a node; each has an address of its own on loopback.
const LISTEN_PORT: u16 = 7740;
const READY_PORT: u16 = 7741;
const INNER_PORT: u16 = 7742;
const WORK_PORT: u16 = 7743;
const METRICS_PORT: u16 = 7744;

/// Grace time of a planned stop, in seconds.
pub(crate) const GRACE_S: u64 = 6;

/// A node's place: its address, settings and log.
pub(crate) struct NodeProcess {
    pub(crate) name: String,
    ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    starts: usize,
    started: Option<Instant>,
    child: Option<Child>,
}

impl NodeProcess {
    /// Lays a node's settings down; `run` is a number that no other run at this time has.
    pub(crate) fn new(folder: &Path, run: u16, number: usize, store: SocketAddr) -> Self {
        let name = format!("node-{number}");
        let [high, low] = run.to_be_bytes();
        let last = u8::try_from(number + 1).unwrap_or(u8::MAX);
        let ip = Ipv4Addr::new(127, high | 1, low, last);
        let settings = folder.join(format!("{name}.toml"));
        let at = |port: u16| format!("{ip}:{port}");
        let text = format!(
            "name = \"{name}\"\nhall = \"hal-a\"\nregion = \"dk-vest\"\nlisten = \"{}\"\n\
             ready = \"{}\"\ninner = \"{}\"\nwork = \"{}\"\nmetrics = \"{}\"\nstore = \"{store}\"\n\
             peers = []\nstop_grace_s = {GRACE_S}\n\n[log]\nlevel = \"info\"\n",
            at(LISTEN_PORT),
            at(READY_PORT),
            at(INNER_PORT),
            at(WORK_PORT),
            at(METRICS_PORT),
        );
        std::fs::write(&settings, text).expect("a folder for settings");
        let log = folder.join(format!("{name}.log"));
        Self {
            name,
            ip,
            settings,
            log,
            starts: 0,
            started: None,
            child: None,
        }
    }

    pub(crate) fn listen(&self) -> SocketAddr {
        SocketAddr::from((self.ip, LISTEN_PORT))
    }

    pub(crate) fn ready(&self) -> SocketAddr {
        SocketAddr::from((self.ip, READY_PORT))
    }

    pub(crate) fn metrics(&self) -> SocketAddr {
        SocketAddr::from((self.ip, METRICS_PORT))
    }

    /// Number of starts so far; each is a new process.
    pub(crate) fn starts(&self) -> usize {
        self.starts
    }

    /// Returns the time since the process was started.
    pub(crate) fn age(&self) -> Duration {
        self.started.map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Starts the process; its log goes on in the same file.
    pub(crate) fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("a file for the log");
        let errors = log.try_clone().expect("a second handle of the log");
        let child = Command::new(env!("CARGO_BIN_EXE_turnford"))
            .arg("serve")
            .arg("--config")
            .arg(&self.settings)
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.expect("the built program"));
        self.starts += 1;
        self.started = Some(Instant::now());
    }

    pub(crate) fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Sends a signal, if the process runs.
    pub(crate) fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().map(Pid::from_child);
        if let Some(pid) = pid {
            // It may have ended by itself, which its status tells.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the process's status once it has ended; it no longer counts as running then.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().expect("a child's status")?;
        self.child = None;
        Some(status)
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // A stopped process is killed, too.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
