//! A node as a separate process.

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

use crate::quota::CpuQuota;

/// Ports of a node; each node has its own loopback address.
const LISTEN_PORT: u16 = 7740;
const READY_PORT: u16 = 7741;
const INNER_PORT: u16 = 7742;
const WORK_PORT: u16 = 7743;
const METRICS_PORT: u16 = 7744;

/// Setting of a node that starts for the first time together with its fleet.
const FIRST_START: &str = "first_start = true\n";

/// Grace period of a planned stop, in seconds.
pub(crate) const GRACE_PERIOD_S: u64 = 6;

/// A node's address, settings and log file, and its process if one is running.
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
    /// Writes a node's settings file, with the addresses at which it reaches targets; `run` must be unique among concurrent runs.
    pub(crate) fn new(
        folder: &Path,
        run: u16,
        number: usize,
        hall: &str,
        store: SocketAddr,
        targets: &[(SocketAddr, SocketAddr)],
    ) -> Self {
        let name = format!("node-{number}");
        let [high, low] = run.to_be_bytes();
        let last = u8::try_from(number + 1).unwrap_or(u8::MAX);
        let ip = Ipv4Addr::new(127, high | 1, low, last);
        let settings = folder.join(format!("{name}.toml"));
        let at = |port: u16| format!("{ip}:{port}");
        let text = format!(
            "name = \"{name}\"\nhall = \"{hall}\"\nregion = \"dk-vest\"\nlisten = \"{}\"\n\
             ready = \"{}\"\ninner = \"{}\"\nwork = \"{}\"\nmetrics = \"{}\"\nstore = \"{store}\"\n\
             peers = []\nstop_grace_s = {GRACE_PERIOD_S}\n\n[log]\nlevel = \"info\"\n",
            at(LISTEN_PORT),
            at(READY_PORT),
            at(INNER_PORT),
            at(WORK_PORT),
            at(METRICS_PORT),
        );
        let table = targets
            .iter()
            .map(|(listed, reached)| format!("\"{listed}\" = \"{reached}\"\n"));
        let text = format!("{text}\n[target_addresses]\n{}", table.collect::<String>());
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

    /// Returns the number of times that a process was started.
    pub(crate) fn starts(&self) -> usize {
        self.starts
    }

    /// Returns the time since the last start.
    pub(crate) fn age(&self) -> Duration {
        self.started.map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Marks the next start as the first one of the whole fleet, as the platform does.
    pub(crate) fn set_first_start(&self) {
        let text = std::fs::read_to_string(&self.settings).expect("the settings file");
        let text = format!("{FIRST_START}{text}");
        std::fs::write(&self.settings, text).expect("a folder for settings");
    }

    /// Starts the process; its output is appended to the log file.
    pub(crate) fn start(&mut self) {
        if self.starts > 0 {
            let text = std::fs::read_to_string(&self.settings).expect("the settings file");
            let text = text.replace(FIRST_START, "");
            std::fs::write(&self.settings, text).expect("a folder for settings");
        }
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

    /// Returns the process id if the process is running.
    pub(crate) fn pid(&self) -> Option<Pid> {
        self.child.as_ref().map(Pid::from_child)
    }

    /// Limits the process to a part of a core until the quota is dropped, if it is running.
    pub(crate) fn limit_cpu(&self, share: f64) -> Option<CpuQuota> {
        CpuQuota::start(self.pid()?, share)
    }

    pub(crate) fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Sends a signal if the process is running.
    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            // The process may have exited already, which shows in its exit status.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the exit status once the process has exited; afterwards it isn't running.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().expect("a child's status")?;
        self.child = None;
        Some(status)
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // SIGKILL also ends a process that is suspended by SIGSTOP.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
