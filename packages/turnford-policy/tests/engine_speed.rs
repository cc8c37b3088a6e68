//! The prefill speed of engines is learned from their first events.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use turnford_policy::EngineScheduler;
use turnford_policy::LatencyModel;
use turnford_policy::Moment;
use turnford_policy::PlacementRequest;
use turnford_policy::PromptSegment;
use turnford_policy::RunTicket;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;
use turnford_policy::TargetTable;

const MS: Duration = Duration::from_millis(1);

const ENGINES: usize = 12;

/// Prefill speeds in tokens per millisecond, from engines of some years ago to the newest.
const SPEEDS: [f64; 4] = [10.0, 20.0, 40.0, 90.0];

/// Share of the engines' prefill capacity needed for the requests' own segments.
const UTILIZATION: f64 = 0.6;

/// Time to the first event of a fully cached prompt.
const LATENCY: Duration = Duration::from_millis(12);

/// Simulated engines that process one prompt after another.
struct Engines {
    speed: f64,
    /// Factor by which an engine is slower than the others.
    slow: HashMap<TargetId, f64>,
    free_at: HashMap<TargetId, Moment>,
    cached: HashSet<(TargetId, u64)>,
}

impl Engines {
    /// Processes a prompt, and returns when its first event comes.
    fn prefill(&mut self, now: Moment, target: &TargetId, request: &PlacementRequest) -> Moment {
        let (own, shared) = request.segments.split_last().expect("a prompt");
        let mut tokens = own.tokens;
        for segment in shared {
            if self.cached.insert((target.clone(), segment.id)) {
                tokens += segment.tokens;
            }
        }
        let factor = self.slow.get(target).copied().unwrap_or(1.0);
        let duration = Duration::from_secs_f64(tokens as f64 / self.speed / 1000.0 * factor);
        let free_at = self.free_at.entry(target.clone()).or_default();
        *free_at = now.max(*free_at) + duration;
        *free_at + LATENCY
    }
}

fn targets() -> TargetTable {
    let targets: Vec<TargetSpec> = (0..ENGINES)
        .map(|number| TargetSpec {
            id: Arc::from(format!("s{number}")),
            process_start: 0,
            service: Arc::from("sprog"),
            address: "127.0.0.1:1".parse().expect("an address"),
            hall: Arc::from("a"),
            slots: 128,
            orders: 0,
            leaving: false,
            version: None,
        })
        .collect();
    let mut table = TargetTable::default();
    table.set_targets(targets.iter());
    table
}

/// Simulates 1500 requests, and returns the fraction of the later half that was in time.
fn simulate(speed: f64, slow: &[(&str, f64)], seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut table = targets();
    let mut scheduler = EngineScheduler::default();
    scheduler.set_capacity(400_000);
    let mut engines = Engines {
        speed,
        slow: slow
            .iter()
            .map(|(id, factor)| (Arc::from(*id), *factor))
            .collect(),
        free_at: HashMap::new(),
        cached: HashSet::new(),
    };
    let mean_tokens = 2500.0;
    let gap = mean_tokens / speed / 1000.0 / (ENGINES as f64 * UTILIZATION);
    // An answer in time may wait for half a prompt of the mean size, and prefill its own of any
    // size.
    let timeout = Duration::from_secs_f64(2.5 * mean_tokens / speed / 1000.0) + 3 * LATENCY;
    let mut now = Moment::ZERO;
    let mut running: Vec<(Moment, RunTicket, Moment)> = Vec::new();
    let (mut in_time, mut total) = (0.0, 0.0);
    for number in 0..1500_u64 {
        now += Duration::from_secs_f64(gap * -rng.random::<f64>().max(1e-9).ln());
        running.sort_unstable();
        while let Some(&(event_at, ticket, placed_at)) = running.first().filter(|run| run.0 <= now)
        {
            running.remove(0);
            let slowness = scheduler.record_first_event(ticket, event_at - placed_at);
            if let (Some(slowness), Some(target)) = (slowness, scheduler.target_of(ticket)) {
                table.record_slowness(event_at, target, slowness);
            }
            scheduler.record_end(ticket);
        }
        let segment = |id, tokens| PromptSegment { id, tokens };
        let own = (mean_tokens * 2.0 * rng.random::<f64>()) as u64 + 1;
        let request = PlacementRequest {
            segments: vec![
                segment(1 + number % 3, 2500),
                segment(100 + number % 40, 1500),
                segment(1000 + number, own),
            ],
            prompt_tokens: 4000 + own,
            max_output_tokens: 60,
            inputs: Vec::new(),
            tried: Vec::new(),
            due: now + timeout,
            deadline: now + 10 * timeout,
        };
        let (target, ticket) = scheduler.place(now, &table, &request).expect("an engine");
        let event_at = engines.prefill(now, &target.id, &request);
        running.push((event_at, ticket, now));
        if number >= 750 {
            total += 1.0;
            in_time += f64::from(event_at <= request.due);
        }
    }
    in_time / total
}

#[test]
fn any_speed() {
    for speed in SPEEDS {
        let ratio = simulate(speed, &[], 1);
        assert!(ratio >= 0.99, "{ratio:.3} in time at {speed} tokens a ms");
    }
}

#[test]
fn slow_engine() {
    // Two engines are five times as slow as the others.
    for speed in SPEEDS {
        let ratio = simulate(speed, &[("s2", 5.0), ("s7", 5.0)], 2);
        assert!(ratio >= 0.97, "{ratio:.3} in time at {speed} tokens a ms");
    }
}

#[test]
fn model_learned() {
    for speed in SPEEDS {
        let mut model = LatencyModel::new(15 * MS, 2000.0, 115 * MS);
        let duration = |tokens: f64| LATENCY + Duration::from_secs_f64(tokens / speed / 1000.0);
        for number in 0..80 {
            let tokens = f64::from(500 + number % 7 * 700);
            model.observe(tokens, duration(tokens));
        }
        for tokens in [800.0, 3000.0, 9000.0] {
            let ratio = model.predict(tokens).as_secs_f64() / duration(tokens).as_secs_f64();
            assert!(
                (0.93..1.07).contains(&ratio),
                "{ratio:.2} of the duration of {tokens} tokens at {speed} tokens a ms"
            );
        }
    }
}

#[test]
fn model_robust() {
    // Samples of a single size, and a target that hangs from time to time, don't distort the model.
    let mut model = LatencyModel::new(15 * MS, 2000.0, 115 * MS);
    for number in 0..200 {
        let hangs = number % 25 == 0;
        model.observe(1000.0, if hangs { 5000 * MS } else { 60 * MS });
    }
    let duration = model.predict(1000.0);
    assert!((55 * MS..75 * MS).contains(&duration), "{duration:?}");
    assert!(model.slope() >= 0.0);
}
