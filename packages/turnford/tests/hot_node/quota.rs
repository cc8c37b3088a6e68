//! Limits a process to a part of a core, as a small VM does: it is stopped while it has used more
//! processor time than its part of the elapsed time.

use std::fs;
use std::os::fd::OwnedFd;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rustix::process::pidfd_open;
use rustix::process::pidfd_send_signal;
use rustix::process::Pid;
use rustix::process::PidfdFlags;
use rustix::process::Signal;

/// Unused processor time that a process may save up.
const MAX_SAVED: Duration = Duration::from_millis(4);

/// Interval at which the used processor time is read.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Limits a process until it is dropped.
pub(crate) struct CpuQuota {
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl CpuQuota {
    /// Limits the process `pid` to `share` of a core. Returns `None` if it has exited.
    pub(crate) fn start(pid: Pid, share: f64) -> Option<Self> {
        // Signals through a descriptor never reach another process that gets the same id.
        let process = pidfd_open(pid, PidfdFlags::empty()).ok()?;
        let is_over = Arc::new(AtomicBool::new(false));
        let watched = is_over.clone();
        let thread = std::thread::spawn(move || limit_process(pid, &process, share, &watched));
        Some(Self {
            is_over,
            thread: Some(thread),
        })
    }
}

impl Drop for CpuQuota {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            // A thread that panicked has nothing left to do.
            let _ = thread.join();
        }
    }
}

fn limit_process(pid: Pid, process: &OwnedFd, share: f64, is_over: &AtomicBool) {
    let mut checked_at = Instant::now();
    let mut used_before = cpu_time(pid);
    // Processor time that the process may use, negative after it has used too much.
    let mut allowance = MAX_SAVED.as_secs_f64();
    let mut is_stopped = false;
    while !is_over.load(Ordering::SeqCst) {
        std::thread::sleep(POLL_INTERVAL);
        let used = cpu_time(pid);
        allowance += share * checked_at.elapsed().as_secs_f64();
        allowance -= used.saturating_sub(used_before).as_secs_f64();
        allowance = allowance.min(MAX_SAVED.as_secs_f64());
        checked_at = Instant::now();
        used_before = used;
        if !is_stopped && allowance < 0.0 {
            is_stopped = true;
            signal(process, Signal::STOP);
        } else if is_stopped && allowance >= 0.0 {
            is_stopped = false;
            signal(process, Signal::CONT);
        }
    }
    signal(process, Signal::CONT);
}

fn signal(process: &OwnedFd, signal: Signal) {
    // The process may have exited already.
    let _ = pidfd_send_signal(process, signal);
}

/// Returns the processor time that all threads of a process have used.
pub(crate) fn cpu_time(pid: Pid) -> Duration {
    let Ok(threads) = fs::read_dir(format!("/proc/{}/task", pid.as_raw_nonzero())) else {
        return Duration::ZERO;
    };
    let times = threads.flatten().filter_map(|thread| {
        let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(times.sum())
}
