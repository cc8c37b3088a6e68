//! How fast engines read is learned from what they do.

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

/// Reading speeds in tokens a millisecond: from engines of some years ago to the newest.
const SPEEDS: [f64; 4] = [10.0, 20.0, 40.0, 90.0];

/// Part of the engines' reading that the requests' own parts need.
const USE: f64 = 0.6;

/// Span until the first event of a prompt that is kept whole.
const LAG: Duration = Duration::from_millis(12);

/// Engines that read one prompt after the other.
struct Engines {
    speed: f64,
    /// Times their usual span that some take.
    slow: HashMap<TargetId, f64>,
    free_at: HashMap<TargetId, Moment>,
    kept: HashSet<(TargetId, u64)>,
}

impl Engines {
    /// Reads a prompt; returns when its first event comes.
    fn read(&mut self, now: Moment, target: &TargetId, need: &PlacementRequest) -> Moment {
        let (own, shared) = need.segments.split_last().expect("a prompt");
        let mut tokens = own.tokens;
        for part in shared {
            if self.kept.insert((target.clone(), part.id)) {
                tokens += part.tokens;
            }
        }
        let factor = self.slow.get(target).copied().unwrap_or(1.0);
        let span = Duration::from_secs_f64(tokens as f64 / self.speed / 1000.0 * factor);
        let free_at = self.free_at.entry(target.clone()).or_default();
        *free_at = now.max(*free_at) + span;
        *free_at + LAG
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
        })
        .collect();
    let mut board = TargetTable::default();
    board.set_targets(targets.iter());
    board
}

/// Plays requests for so long and returns the share of those in time of the later half.
fn play(speed: f64, slow: &[(&str, f64)], seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut board = targets();
    let mut boards = EngineScheduler::default();
    boards.set_capacity(400_000);
    let mut engines = Engines {
        speed,
        slow: slow
            .iter()
            .map(|(id, factor)| (Arc::from(*id), *factor))
            .collect(),
        free_at: HashMap::new(),
        kept: HashSet::new(),
    };
    let mean_tokens = 2500.0;
    let gap = mean_tokens / speed / 1000.0 / (ENGINES as f64 * USE);
    // An answer in time may wait for half a prompt of this size, and read its own of any size.
    let patience = Duration::from_secs_f64(2.5 * mean_tokens / speed / 1000.0) + 3 * LAG;
    let mut now = Moment::ZERO;
    let mut running: Vec<(Moment, RunTicket, Moment)> = Vec::new();
    let (mut served, mut asked) = (0.0, 0.0);
    for number in 0..1500_u64 {
        now += Duration::from_secs_f64(gap * -rng.random::<f64>().max(1e-9).ln());
        running.sort_unstable();
        while let Some(&(came, ticket, placed)) = running.first().filter(|run| run.0 <= now) {
            running.remove(0);
            let slowness = boards.record_first_event(ticket, came - placed);
            if let (Some(slowness), Some(target)) = (slowness, boards.target_of(ticket)) {
                board.record_slowness(came, target, slowness);
            }
            boards.record_end(ticket);
        }
        let part = |id, tokens| PromptSegment { id, tokens };
        let own = (mean_tokens * 2.0 * rng.random::<f64>()) as u64 + 1;
        let need = PlacementRequest {
            segments: vec![
                part(1 + number % 3, 2500),
                part(100 + number % 40, 1500),
                part(1000 + number, own),
            ],
            prompt_tokens: 4000 + own,
            max_output_tokens: 60,
            inputs: Vec::new(),
            tried: Vec::new(),
            due: now + patience,
            deadline: now + 10 * patience,
        };
        let (target, ticket) = boards.place(now, &board, &need).expect("an engine");
        let came = engines.read(now, &target.id, &need);
        running.push((came, ticket, now));
        if number >= 750 {
            asked += 1.0;
            served += f64::from(came <= need.due);
        }
    }
    served / asked
}

#[test]
fn any_speed() {
    for speed in SPEEDS {
        let share = play(speed, &[], 1);
        assert!(share >= 0.99, "{share:.3} in time at {speed} tokens a ms");
    }
}

#[test]
fn slow_engine() {
    // Two engines take five times as long as the others.
    for speed in SPEEDS {
        let share = play(speed, &[("s2", 5.0), ("s7", 5.0)], 2);
        assert!(share >= 0.97, "{share:.3} in time at {speed} tokens a ms");
    }
}

#[test]
fn line_learned() {
    for speed in SPEEDS {
        let mut line = LatencyModel::new(15 * MS, 2000.0, 115 * MS);
        let span = |tokens: f64| LAG + Duration::from_secs_f64(tokens / speed / 1000.0);
        for number in 0..80 {
            let tokens = f64::from(500 + number % 7 * 700);
            line.observe(tokens, span(tokens));
        }
        for tokens in [800.0, 3000.0, 9000.0] {
            let ratio = line.predict(tokens).as_secs_f64() / span(tokens).as_secs_f64();
            assert!(
                (0.93..1.07).contains(&ratio),
                "{ratio:.2} of the span of {tokens} tokens at {speed} tokens a ms"
            );
        }
    }
}

#[test]
fn line_robust() {
    // One size alone, and a target that hangs now and then, leave the line sound.
    let mut line = LatencyModel::new(15 * MS, 2000.0, 115 * MS);
    for number in 0..200 {
        let hangs = number % 25 == 0;
        line.observe(1000.0, if hangs { 5000 * MS } else { 60 * MS });
    }
    let span = line.predict(1000.0);
    assert!((55 * MS..75 * MS).contains(&span), "{span:?}");
    assert!(line.slope() >= 0.0);
}
