//! Guards against promises that a request has not run although its target ran it.

mod common;

use std::thread::scope;

use common::ClientRequest;
use common::RouteSite;
use common::ENGINE;
use common::QUICK;
use common::STAGE;
use turnford_http::BufferedResponse;
use turnford_standin::LinkCut;
use turnford_standin::RawEnd;
use turnford_standin::RawResponse;
use turnford_standin::RouteTarget;

/// Statuses that promise a client that its request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Statuses of targets.
const STATUSES: [u16; 11] = [200, 302, 400, 404, 408, 409, 421, 429, 500, 503, 504];

/// Statuses with which a target refuses a request, if they are marked.
const REFUSALS: [u16; 4] = [400, 409, 429, 503];

/// Routes, and whether a request on them may run more than once.
const ROUTES: [(&str, bool); 5] = [
    ("/hold/", false),
    ("/book/", false),
    ("/pay/", true),
    ("/draft/", false),
    ("/chat/", true),
];

/// Number of requests that are sent until one reaches a target: nodes find restarted targets after a while.
const MAX_TRIES: usize = 8;

/// Headers of a request with pieces of two stages and without a prompt.
const UNPROMPTED: [(&str, &str); 2] = [
    ("x-turnford-pieces", "2,3"),
    ("x-turnford-piece-key", "7c1e07a291bd"),
];

/// Body of a target's response.
const BODY: &str = "data: answer\n\n";

/// How much of its body a target sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Whole,
    /// The connection closes within it.
    Truncated,
    /// Nothing more comes within it.
    Stalled,
}

/// A target's response.
#[derive(Clone, Copy, Debug)]
struct Answer {
    status: u16,
    /// Whether it is marked as a refusal.
    is_marked: bool,
    is_signed: bool,
    part: Part,
}

impl Answer {
    fn all() -> Vec<Self> {
        let mut answers = Vec::new();
        for status in STATUSES {
            for (is_marked, is_signed) in
                [(false, true), (false, false), (true, true), (true, false)]
            {
                for part in [Part::Whole, Part::Truncated, Part::Stalled] {
                    answers.push(Self {
                        status,
                        is_marked,
                        is_signed,
                        part,
                    });
                }
            }
        }
        answers
    }

    /// Returns whether the target says that it did not run the request.
    fn is_refusal(self) -> bool {
        self.status == 421 || (self.is_marked && REFUSALS.contains(&self.status))
    }

    /// Returns the attempt of the request on a route that gets the answer.
    fn attempt(self, path: &str) -> String {
        format!(
            "{}-{}-{}-{:?}-{}",
            self.status,
            self.is_marked,
            self.is_signed,
            self.part,
            path.trim_matches('/')
        )
    }

    fn response(self) -> RawResponse {
        let mark = if self.is_marked {
            "x-turnford-not-run: 1\r\n"
        } else {
            ""
        };
        let (body, end) = match self.part {
            Part::Whole => (BODY, RawEnd::Close),
            Part::Truncated => (&BODY[..4], RawEnd::Close),
            Part::Stalled => (&BODY[..4], RawEnd::KeepOpen),
        };
        RawResponse {
            attempt: None,
            is_signed: self.is_signed,
            status: self.status,
            framing: format!(
                "{mark}content-type: text/event-stream\r\ncontent-length: {}\r\n",
                BODY.len()
            ),
            body: body.as_bytes().to_vec(),
            end,
        }
    }

    /// Returns what is wrong with a client's response.
    fn check(self, response: &BufferedResponse, sends: usize, may_repeat: bool) -> Option<String> {
        let status = response.status;
        let is_promise = PROMISES.contains(&status);
        let has_run = sends > 0 && !self.is_refusal();
        let body = String::from_utf8_lossy(&response.body);
        if has_run && body.contains("\"ran\":\"no\"") {
            return Some(format!("ran and was answered {body}"));
        }
        // Only some of a refused request's stage results are sought anew before its deadline.
        if sends > 0 && self.is_refusal() && self.status != 409 && !is_promise {
            return Some(format!("was refused and was answered {status}"));
        }
        if has_run && !may_repeat && is_promise {
            return Some(format!("ran and was answered {status}"));
        }
        if has_run && !may_repeat && sends > 1 {
            return Some(format!("was sent {sends} times"));
        }
        let is_success = (200..300).contains(&status);
        let is_whole = self.part == Part::Whole && response.body == BODY.as_bytes();
        if is_success && !(self.status == status && self.is_signed && is_whole) {
            return Some(format!("was answered {status} with {:?}", response.body));
        }
        let is_signed = response.header("x-turnford-server-stamp").is_some();
        if is_signed && status != self.status {
            return Some(format!("was answered {status} with a stamp"));
        }
        let is_failure = self.status >= 300 && !PROMISES.contains(&self.status);
        let is_passed_on = is_failure && !self.is_refusal() && self.part == Part::Whole;
        let is_unchanged = status == self.status && is_signed == self.is_signed;
        (sends > 0 && is_passed_on && !is_unchanged)
            .then(|| format!("was answered {status}, stamp: {is_signed}"))
    }
}

/// A node before two targets of each service.
struct RefusalSite {
    site: RouteSite,
    targets: Vec<RouteTarget>,
}

impl RefusalSite {
    fn direct() -> Self {
        let mut site = RouteSite::new();
        let targets = start_targets(&site);
        site.node("one");
        Self { site, targets }
    }

    /// Creates a site whose first node reaches its targets only through the second one.
    fn relayed() -> Self {
        let mut site = RouteSite::new();
        let targets = start_targets(&site);
        let (_, links) = site.node_behind("one", &targets);
        site.node("two");
        site.settle();
        for link in &links {
            link.cut(LinkCut::Reset).expect("a port");
        }
        Self { site, targets }
    }

    /// Returns how often requests of an attempt got a raw response.
    fn sends(&self, attempt: &str) -> usize {
        let sends = self.targets.iter().map(|target| {
            let attempts = target.raw_attempts();
            attempts.iter().filter(|sent| *sent == attempt).count()
        });
        sends.sum()
    }

    /// Sends a request on each route while targets give one answer; returns what is wrong, and the number of
    /// requests that reached a target.
    fn play(&self, answer: Answer) -> (Vec<String>, usize) {
        for target in &self.targets {
            target.respond_raw(Some(answer.response()));
            // Open connections get the responses of before.
            target.restart();
        }
        let calls = ROUTES.map(|(path, may_repeat)| (self, path, may_repeat));
        scope(|scope| {
            let calls = calls.map(|(site, path, may_repeat)| {
                scope.spawn(move || site.call(answer, path, may_repeat))
            });
            let ends = calls.map(|call| call.join().expect("a call"));
            let sent = ends.iter().filter(|(_, sends)| *sends > 0).count();
            let wrong = ends.into_iter().filter_map(|(wrong, _)| wrong).collect();
            (wrong, sent)
        })
    }

    /// Sends requests until one reaches a target; returns what is wrong with their responses, and how often
    /// the last one was sent.
    fn call(&self, answer: Answer, path: &str, may_repeat: bool) -> (Option<String>, usize) {
        let tries = (0..MAX_TRIES).map(|number| {
            let attempt = format!("{}-{number}", answer.attempt(path));
            self.call_once(answer, path, &attempt, may_repeat)
        });
        let mut ends = tries.skip_while(|(wrong, sends)| wrong.is_none() && *sends == 0);
        ends.next().unwrap_or_default()
    }

    /// Sends a request; returns what is wrong with its response, and how often it was sent to a target.
    fn call_once(
        &self,
        answer: Answer,
        path: &str,
        attempt: &str,
        may_repeat: bool,
    ) -> (Option<String>, usize) {
        let mut headers = vec![("x-turnford-deadline-ms", "600")];
        if path == "/chat/" {
            headers.extend(UNPROMPTED);
        }
        // Like requests would be refused, as targets seem to crash when they run them.
        let path = format!("{path}{attempt}");
        let request = ClientRequest {
            headers: &headers,
            ..ClientRequest::new(attempt, &path)
        };
        let response = self.site.call(0, request);
        let sends = self.sends(attempt);
        let wrong = match response {
            Ok(response) => answer.check(&response, sends, may_repeat),
            // A stream breaks off after its head.
            Err(_) if answer.status == 200 && answer.part != Part::Whole => None,
            Err(error) => Some(format!("got no response: {error:?}")),
        };
        (wrong.map(|wrong| format!("{attempt} {wrong}")), sends)
    }

    fn assert_true_promises(&self) {
        let answers = Answer::all();
        let mut wrong = Vec::new();
        for answer in &answers {
            let (found, sent) = self.play(*answer);
            wrong.extend(found);
            if sent < ROUTES.len() {
                wrong.push(format!("{answer:?} was given on {sent} routes"));
            }
        }
        let all: Vec<String> = self
            .targets
            .iter()
            .flat_map(RouteTarget::raw_attempts)
            .collect();
        for (path, may_repeat) in ROUTES {
            for answer in answers.iter().filter(|answer| !answer.is_refusal()) {
                for number in 0..MAX_TRIES {
                    let attempt = format!("{}-{number}", answer.attempt(path));
                    let sends = all.iter().filter(|sent| **sent == attempt).count();
                    if sends > 1 && !may_repeat {
                        wrong.push(format!("{attempt} ran {sends} times in the end"));
                    }
                }
            }
        }
        assert!(wrong.is_empty(), "{} wrong: {wrong:#?}", wrong.len());
    }
}

fn start_targets(site: &RouteSite) -> Vec<RouteTarget> {
    let stages = [("k1", "kort"), ("e1", "ejer")];
    for (id, service) in stages {
        site.target(id, service, STAGE);
    }
    let targets = [
        ("b1", "booking", QUICK),
        ("b2", "booking", QUICK),
        ("s1", "sprog", ENGINE),
        ("s2", "sprog", ENGINE),
    ];
    let targets = targets.map(|(id, service, role)| site.target(id, service, role));
    targets.to_vec()
}

#[test]
fn direct_calls() {
    RefusalSite::direct().assert_true_promises();
}

#[test]
fn relayed_calls() {
    RefusalSite::relayed().assert_true_promises();
}
