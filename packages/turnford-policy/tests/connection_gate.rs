//! A node accepts as many connections as it has processor time for.

mod common;

use std::collections::VecDeque;
use std::time::Duration;

use proptest::prelude::*;
use turnford_policy::ConnectionGate;
use turnford_policy::GateDecision;
use turnford_policy::Moment;

/// Interval between two samples of the delay.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Time that passes while the thread has no task.
const IDLE_STEP: Duration = Duration::from_micros(100);

/// Processor time of a task besides its work.
const TASK_COST: Duration = Duration::from_micros(20);

/// Length of the kernel's queue of connections.
const KERNEL_QUEUE: usize = 128;

/// Connections that are accepted before other tasks run.
const MAX_ACCEPTS: usize = 8;

/// Tasks that serve one connection.
const SERVE_PARTS: u32 = 4;

/// Time within which the gate must react to a load beyond the capacity.
const REACTION_TIME: Duration = Duration::from_secs(1);

/// Time after which the delay stays low under such a load.
const SETTLING_TIME: Duration = Duration::from_secs(6);

/// Upper bound of the delay from then on.
const MAX_DELAY: Duration = Duration::from_millis(150);

/// Time after the end of such a load within which nothing is rejected any longer.
const CALM_TIME: Duration = Duration::from_secs(4);

/// Task of a simulated thread.
enum Task {
    /// Takes connections from the kernel's queue.
    Accept,
    /// Records the delay of a timer that was due then.
    Timer(Moment),
    /// Serves a part of a connection.
    Serve(Duration),
}

/// A thread that runs its tasks in order.
struct SimulatedThread {
    gate: ConnectionGate,
    now: Moment,
    tasks: VecDeque<Task>,
    /// When the next timer is due, `None` while its task is queued.
    timer_due: Option<Moment>,
    /// Connections that wait in the kernel's queue.
    pending: usize,
    arrivals: f64,
    accepted: u64,
    rejected: u64,
    longest_delay: Duration,
}

impl SimulatedThread {
    fn new() -> Self {
        Self {
            gate: ConnectionGate::default(),
            now: Duration::ZERO,
            tasks: VecDeque::new(),
            timer_due: Some(SAMPLE_INTERVAL),
            pending: 0,
            arrivals: 0.0,
            accepted: 0,
            rejected: 0,
            longest_delay: Duration::ZERO,
        }
    }

    /// Runs with evenly spaced connections, each of which takes `work`.
    fn run(&mut self, duration: Duration, per_second: f64, work: Duration) {
        let end = self.now + duration;
        while self.now < end {
            if let Some(due) = self.timer_due.take_if(|due| *due <= self.now) {
                self.tasks.push_back(Task::Timer(due));
            }
            let used = match self.tasks.pop_front() {
                None => IDLE_STEP,
                Some(Task::Serve(part)) => part,
                Some(Task::Timer(due)) => self.sample(due),
                Some(Task::Accept) => self.accept(work),
            };
            self.now += used;
            self.arrive(per_second * used.as_secs_f64());
        }
    }

    fn arrive(&mut self, count: f64) {
        self.arrivals += count;
        while self.arrivals >= 1.0 {
            self.arrivals -= 1.0;
            if self.pending == 0 {
                self.tasks.push_back(Task::Accept);
            }
            self.pending = (self.pending + 1).min(KERNEL_QUEUE);
        }
    }

    fn sample(&mut self, due: Moment) -> Duration {
        let delay = self.now.saturating_sub(due);
        self.longest_delay = self.longest_delay.max(delay);
        self.gate.record_delay(self.now, delay);
        self.timer_due = Some(self.now + SAMPLE_INTERVAL);
        TASK_COST
    }

    fn accept(&mut self, work: Duration) -> Duration {
        let mut accepted = 0;
        let mut used = TASK_COST;
        while self.pending > 0 && accepted < MAX_ACCEPTS {
            self.pending -= 1;
            used += TASK_COST;
            match self.gate.decide(self.now, true) {
                GateDecision::Accept => {
                    accepted += 1;
                    let part = work / SERVE_PARTS;
                    (0..SERVE_PARTS).for_each(|_| self.tasks.push_back(Task::Serve(part)));
                }
                GateDecision::Reject => self.rejected += 1,
            }
        }
        self.accepted += accepted as u64;
        self.gate.record_queue(self.now, self.pending > 0);
        if self.pending > 0 {
            self.tasks.push_back(Task::Accept);
        }
        used
    }
}

proptest! {
    #![proptest_config(common::proptest_config(200))]

    /// Nothing is rejected while the thread keeps up.
    #[test]
    fn light_load(work_us in 500_u64..20_000, use_ratio in 0.05_f64..0.8) {
        let work = Duration::from_micros(work_us);
        let mut thread = SimulatedThread::new();
        thread.run(Duration::from_secs(10), use_ratio / work.as_secs_f64(), work);
        prop_assert_eq!(thread.rejected, 0);
        prop_assert!(!thread.gate.is_saturated());
    }

    /// Beyond its capacity the thread stays busy and on time, and is open again after that.
    #[test]
    fn heavy_load(work_us in 500_u64..20_000, use_ratio in 1.5_f64..8.0) {
        let work = Duration::from_micros(work_us);
        let capacity = 1.0 / work.as_secs_f64();
        let mut thread = SimulatedThread::new();
        thread.run(Duration::from_secs(3), 0.5 * capacity, work);
        thread.run(REACTION_TIME, use_ratio * capacity, work);
        prop_assert!(thread.gate.is_saturated());
        thread.run(SETTLING_TIME, use_ratio * capacity, work);
        thread.longest_delay = Duration::ZERO;
        let accepted = thread.accepted;
        thread.run(Duration::from_secs(10), use_ratio * capacity, work);
        let used = (thread.accepted - accepted) as f64 / 10.0 / capacity;
        prop_assert!((0.6..=1.1).contains(&used), "{} of the capacity used", used);
        prop_assert!(thread.longest_delay < MAX_DELAY, "{:?}", thread.longest_delay);
        thread.run(CALM_TIME, 0.5 * capacity, work);
        let rejected = thread.rejected;
        thread.run(Duration::from_secs(3), 0.5 * capacity, work);
        prop_assert_eq!(thread.rejected, rejected);
        prop_assert!(!thread.gate.is_saturated());
    }
}

/// A timer that is late once, for example after a freeze, rejects nothing.
#[test]
fn single_freeze() {
    let mut gate = ConnectionGate::default();
    for number in 1..=20 {
        let delay = if number == 10 { 3000 } else { 0 };
        let now = Duration::from_millis(50 * number);
        let change = gate.record_delay(now, Duration::from_millis(delay));
        assert_eq!(change, None);
        assert_eq!(gate.decide(now, true), GateDecision::Accept);
    }
}

/// A quota that is used up for most of each period, but not in all of it, rejects nothing.
#[test]
fn quota_pauses() {
    let mut gate = ConnectionGate::default();
    for number in 1..=40 {
        let delay = if number % 2 == 0 { 60 } else { 5 };
        let now = Duration::from_millis(50 * number);
        assert_eq!(gate.record_delay(now, Duration::from_millis(delay)), None);
    }
}

/// A node that is ready goes on accepting some connections, however late it is.
#[test]
fn never_closed() {
    let mut gate = ConnectionGate::default();
    let mut accepted = 0;
    for number in 1..=200 {
        let now = Duration::from_millis(50 * number);
        gate.record_delay(now, Duration::from_secs(1));
        let decision = gate.decide(now, true);
        accepted += u32::from(number > 100 && decision == GateDecision::Accept);
    }
    assert!(accepted >= 9, "{accepted} connections accepted in 5 s");
}

/// A client without another node to go to is not rejected.
#[test]
fn no_alternative() {
    let mut gate = ConnectionGate::default();
    for number in 1..=100 {
        let now = Duration::from_millis(50 * number);
        gate.record_delay(now, Duration::from_secs(1));
        assert_eq!(gate.decide(now, false), GateDecision::Accept);
    }
}
