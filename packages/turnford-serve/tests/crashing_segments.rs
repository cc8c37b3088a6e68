//! Guards against requests, no two alike, that crash target after target by a prompt segment that they share.

mod common;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use common::text;
use common::wait_until;
use common::ClientRequest;
use common::RouteSite;
use turnford_standin::RouteTarget;
use turnford_standin::TargetRole;

/// The segment that crashes targets.
const DEADLY: &str = "dead1";

/// Targets of a site.
const TARGETS: usize = 12;

/// Nodes of a site.
const NODES: usize = 3;

/// Crashes that the segment may cause before its requests must be known.
const ALLOWED_CRASHES: usize = 5;

/// Time after those from which on [`MAX_LATE`] requests with the segment may reach targets.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Requests with the segment that may reach targets after that.
const MAX_LATE: usize = 3;

/// Time after the crashes from which on sound requests must be served again.
const HEAL_TIME: Duration = Duration::from_secs(6);

/// Time for which requests are sent before and after [`HEAL_TIME`].
const PERIOD: Duration = Duration::from_secs(3);

/// Concurrent clients of requests with the segment, and of sound ones.
const CLIENTS: usize = 4;

/// Engines with streams of half a second.
const ENGINE: TargetRole = TargetRole::Engine {
    first_event: Duration::from_millis(30),
    event_gap: Duration::from_millis(20),
    events: 20,
};

const PLAIN: TargetRole = TargetRole::Plain(Duration::from_millis(120));

/// A request that ended.
#[derive(Clone, Debug)]
struct Ended {
    sent: Instant,
    held: Duration,
    status: u16,
    text: String,
}

/// A site under load.
struct LoadedSite {
    site: RouteSite,
    targets: Vec<RouteTarget>,
    path: &'static str,
    next_number: AtomicUsize,
    is_deadly: AtomicBool,
    is_over: AtomicBool,
    sound: Mutex<Vec<Ended>>,
    deadly: Mutex<Vec<Ended>>,
    crashes: Mutex<Vec<Instant>>,
}

impl LoadedSite {
    fn new(service: &str, path: &'static str, role: &TargetRole) -> Self {
        let mut site = RouteSite::new();
        let targets: Vec<RouteTarget> = (0..TARGETS)
            .map(|number| site.target(&format!("{service}-{number}"), service, role.clone()))
            .collect();
        for number in 0..NODES {
            site.node(&format!("node-{number}"));
        }
        site.settle();
        Self {
            site,
            targets,
            path,
            next_number: AtomicUsize::new(0),
            is_deadly: AtomicBool::new(false),
            is_over: AtomicBool::new(false),
            sound: Mutex::default(),
            deadly: Mutex::default(),
            crashes: Mutex::default(),
        }
    }

    /// Sends a request that shares the first segment and one of three others with all others.
    fn send(&self, is_deadly: bool) {
        let number = self.next_number.fetch_add(1, Ordering::SeqCst);
        let kind = if is_deadly { "bad" } else { "good" };
        let attempt = format!("{kind}-{number}");
        let middle = if is_deadly { "dead1:200," } else { "" };
        let prompt = format!("f1:800,b{}:300,{middle}c{number:x}:90", number % 3);
        let headers = [
            ("x-turnford-model", "m"),
            ("x-turnford-token-counts", "1390,80"),
            ("x-turnford-prompt-prefix", &*prompt),
        ];
        let request = ClientRequest {
            headers: &headers,
            body: &attempt,
            ..ClientRequest::new(&attempt, self.path)
        };
        let sent = Instant::now();
        let response = self.site.call(number % self.site.nodes.len(), request);
        let ended = Ended {
            sent,
            held: sent.elapsed(),
            status: response.as_ref().map_or(0, |response| response.status),
            text: response.map_or(String::new(), |response| text(&response)),
        };
        let list = if is_deadly { &self.deadly } else { &self.sound };
        list.lock().expect("no panic").push(ended);
    }

    /// Sends requests while `script` runs.
    fn run(&self, script: impl FnOnce()) {
        std::thread::scope(|scope| {
            for _ in 0..CLIENTS {
                scope.spawn(|| {
                    while !self.is_over.load(Ordering::SeqCst) {
                        self.send(false);
                        std::thread::sleep(Duration::from_millis(40));
                    }
                });
                scope.spawn(|| {
                    while !self.is_over.load(Ordering::SeqCst) {
                        if self.is_deadly.load(Ordering::SeqCst) {
                            self.send(true);
                        }
                        std::thread::sleep(Duration::from_millis(60));
                    }
                });
            }
            scope.spawn(|| self.watch_crashes());
            script();
            self.is_over.store(true, Ordering::SeqCst);
        });
    }

    fn watch_crashes(&self) {
        while !self.is_over.load(Ordering::SeqCst) {
            let count: u64 = self.targets.iter().map(RouteTarget::crash_count).sum();
            let mut crashes = self.crashes.lock().expect("no panic");
            let count = usize::try_from(count).expect("few crashes");
            let count = count.max(crashes.len());
            crashes.resize(count, Instant::now());
            drop(crashes);
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Returns the time of the last crash that the segment may cause.
    fn known_at(&self) -> Instant {
        let crashes = self.crashes.lock().expect("no panic");
        let last = crashes.get(ALLOWED_CRASHES - 1).or(crashes.last());
        *last.expect("a crash")
    }

    /// Returns the number of requests with the segment that reached targets too late.
    fn late_arrivals(&self) -> usize {
        let from = self.known_at() + CONTACT_TIME;
        let arrivals = self.targets.iter().flat_map(RouteTarget::arrivals);
        let late = arrivals.filter(|call| call.attempt.starts_with("bad-") && call.at > from);
        late.count()
    }

    /// Returns the share of sound requests that were served among those sent in a period.
    fn served_ratio(&self, from: Instant, until: Instant) -> f64 {
        let sound = self.sound.lock().expect("no panic");
        let sent = sound
            .iter()
            .filter(|ended| ended.sent >= from && ended.sent < until);
        let sent: Vec<&Ended> = sent.collect();
        assert!(sent.len() >= 20, "{} sound requests", sent.len());
        let served = sent.iter().filter(|ended| ended.status == 200).count();
        served as f64 / sent.len() as f64
    }

    fn check_bounds(&self, begun_at: Instant) {
        let crashes = self.crashes.lock().expect("no panic").len();
        let late = self.late_arrivals();
        let before = self.served_ratio(begun_at - PERIOD, begun_at);
        let healed_at = self.known_at() + HEAL_TIME;
        let after = self.served_ratio(healed_at, healed_at + PERIOD);
        let summary = format!("{crashes} crashes, {late} late, sound ones {before:.2} {after:.2}");
        println!("{summary}");
        assert!(late <= MAX_LATE, "{summary}");
        assert!(after >= before / 2.0, "{summary}");
    }
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Lets a segment crash targets and checks what it costs.
fn check_segment(site: &LoadedSite) {
    for target in &site.targets {
        target.crash_on_segment(DEADLY);
    }
    let mut begun_at = Instant::now();
    site.run(|| {
        std::thread::sleep(PERIOD);
        begun_at = Instant::now();
        site.is_deadly.store(true, Ordering::SeqCst);
        wait_until("the segment crashes a target", || {
            !site.crashes.lock().expect("no panic").is_empty()
        });
        std::thread::sleep(CONTACT_TIME);
        sleep_until(site.known_at() + HEAL_TIME + PERIOD);
    });
    site.check_bounds(begun_at);
}

#[test]
fn few_engines() {
    let site = LoadedSite::new("sprog", "/draft/", &ENGINE);
    check_segment(&site);
    // Requests with the segment are refused at once.
    let deadly = site.deadly.lock().expect("no panic");
    let refused = deadly.iter().filter(|ended| ended.text.contains("crash"));
    let held: Vec<Duration> = refused.map(|ended| ended.held).collect();
    assert!(held.len() > 20, "{} refused", held.len());
    let slow = held[held.len() / 2..].iter().max();
    assert!(slow < Some(&Duration::from_millis(300)), "{slow:?}");
}

#[test]
fn few_services() {
    check_segment(&LoadedSite::new("booking", "/pay/", &PLAIN));
}

#[test]
fn killed_nodes() {
    // All nodes end after the crashes, so that only the store knows of them.
    let mut site = LoadedSite::new("sprog", "/draft/", &ENGINE);
    for target in &site.targets {
        target.crash_on_segment(DEADLY);
    }
    site.run(|| {
        site.is_deadly.store(true, Ordering::SeqCst);
        wait_until("the segment crashes targets", || {
            site.crashes.lock().expect("no panic").len() >= ALLOWED_CRASHES - 1
        });
        std::thread::sleep(CONTACT_TIME + Duration::from_secs(1));
    });
    for node in &mut site.site.nodes {
        node.node.take();
    }
    for number in 0..NODES {
        site.site.node(&format!("late-{number}"));
    }
    site.site.nodes.drain(..NODES);
    let from = Instant::now();
    for _ in 0..30 {
        site.send(true);
    }
    let arrivals = site.targets.iter().flat_map(RouteTarget::arrivals);
    let late = arrivals.filter(|call| call.attempt.starts_with("bad-") && call.at > from);
    let late = late.count();
    assert!(late <= MAX_LATE, "{late} after all nodes ended");
}

#[test]
fn nothing_refused() {
    // Engines that crash in turn for another reason get no request refused as one that crashes them.
    let site = LoadedSite::new("sprog", "/draft/", &ENGINE);
    site.run(|| {
        for round in 0..20 {
            for target in site.targets.iter().skip(round % 2).step_by(2).take(3) {
                target.crash();
                std::thread::sleep(Duration::from_millis(120));
            }
        }
    });
    let sound = site.sound.lock().expect("no panic");
    let refused = sound.iter().filter(|ended| ended.text.contains("crashes"));
    let refused: Vec<&Ended> = refused.collect();
    assert!(refused.is_empty(), "{refused:?}");
}
