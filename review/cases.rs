// ---------------------------------------------------------------------------------------------
// Case 1: one answer too many, a refusal of another request

/// How often each request ran, and what its client was told.
#[derive(Default)]
struct RunTable {
    runs: Mutex<HashMap<String, Vec<String>>>,
}

impl RunTable {
    fn record(&self, id: &str, runner: &str) {
        let mut runs = self.runs.lock().unwrap();
        runs.entry(id.to_owned())
            .or_default()
            .push(runner.to_owned());
    }
}

/// Calls that wait for a slot at a runner, beyond which it refuses.
const RUNNER_QUEUE: usize = 1;

/// A runner of a plain service. It works on `slots` requests at once and queues [`RUNNER_QUEUE`] more.
struct PlainRunner {
    id: String,
    slots: usize,
    work: Duration,
    /// Numbers of requests that are worked on and that wait.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    /// Of so many refusals, one is sent once more, late: where the answer to the next request is due; 0 for none.
    repeats_every: usize,
    refusals: AtomicUsize,
    answers: AtomicUsize,
    strays: AtomicUsize,
    /// Connections opened before this go silent in the middle of the next answer on them.
    silent_before: Mutex<Option<Instant>>,
    record: Arc<Record>,
    table: Arc<RunTable>,
}

impl PlainRunner {
    fn new(
        id: String,
        slots: usize,
        work: Duration,
        record: &Arc<Record>,
        table: &Arc<RunTable>,
    ) -> Self {
        Self {
            id,
            slots,
            work,
            load: Mutex::new((0, 0)),
            freed: Condvar::new(),
            repeats_every: 0,
            refusals: AtomicUsize::new(0),
            answers: AtomicUsize::new(0),
            strays: AtomicUsize::new(0),
            silent_before: Mutex::new(None),
            record: record.clone(),
            table: table.clone(),
        }
    }

    /// Takes a place. Returns `false` if the runner is full.
    fn admit(&self) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.0 + load.1 >= self.slots + RUNNER_QUEUE {
            return false;
        }
        load.1 += 1;
        true
    }

    /// Waits for a slot and works on a request.
    fn run(&self, id: &str) {
        let mut load = self.load.lock().unwrap();
        while load.0 >= self.slots {
            load = self.freed.wait(load).unwrap();
        }
        *load = (load.0 + 1, load.1 - 1);
        drop(load);
        self.table.record(id, &self.id);
        self.record.line(&format!("{} runs {id}", self.id));
        thread::sleep(self.work);
        self.load.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }

    fn serve_connection(&self, stream: TcpStream) {
        let opened_at = Instant::now();
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(clone);
        let mut stream = stream;
        let mut stray: Option<(String, Vec<u8>)> = None;
        while let Ok(Some(request)) = read_message(&mut reader, None) {
            let path = request.first.get(1).map_or("", |path| path);
            if path == "/health" || path == "/v1/report" {
                let headers = [("X-Turnford-Instance-Id", self.id.as_str())];
                let _ = stream.write_all(&response("200 OK", &headers, b"{}"));
                continue;
            }
            let id = request
                .header("x-turnford-attempt-id")
                .unwrap_or("")
                .to_owned();
            let expected = request.header("x-turnford-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let headers = [
                    ("X-Turnford-Attempt-Id", id.as_str()),
                    ("X-Turnford-Instance-Id", self.id.as_str()),
                ];
                let _ = stream.write_all(&response("421 Misdirected Request", &headers, b""));
                continue;
            }
            self.answers.fetch_add(1, Ordering::SeqCst);
            if let Some((of, bytes)) = stray.take() {
                self.strays.fetch_add(1, Ordering::SeqCst);
                let text = format!(
                    "{} sends the refusal of {of} once more, before the answer to {id}",
                    self.id
                );
                self.record.line(&text);
                let _ = stream.write_all(&bytes);
            }
            if !self.admit() {
                let headers = [
                    ("X-Turnford-Attempt-Id", id.as_str()),
                    ("X-Turnford-Not-Run", "1"),
                    ("Keep-Alive", "timeout=10"),
                ];
                let bytes = response("503 Service Unavailable", &headers, b"");
                self.record
                    .line(&format!("{} is full and refuses {id}", self.id));
                let _ = stream.write_all(&bytes);
                let refusals = self.refusals.fetch_add(1, Ordering::SeqCst) + 1;
                if self.repeats_every > 0 && refusals % self.repeats_every == 0 {
                    stray = Some((id, bytes));
                }
                continue;
            }
            self.run(&id);
            let stamp = format!("stamp.{}.{id}", self.id);
            let headers = [
                ("X-Turnford-Attempt-Id", id.as_str()),
                ("X-Turnford-Server-Stamp", stamp.as_str()),
                ("Keep-Alive", "timeout=10"),
            ];
            let bytes = response("200 OK", &headers, &[b'x'; 800]);
            let silent_before = *self.silent_before.lock().unwrap();
            if silent_before.is_some_and(|at| opened_at < at) {
                self.record.line(&format!(
                    "{}: a connection goes silent in its answer to {id}",
                    self.id
                ));
                let _ = stream.write_all(&bytes[..bytes.len() - 400]);
                let started = Instant::now();
                let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
                // Nothing more comes on this connection until it is closed.
                let _ = read_head(&mut reader);
                let after = started.elapsed().as_secs_f64();
                self.record.line(&format!(
                    "{}: the connection of {id} was closed {after:.1} s later",
                    self.id
                ));
                return;
            }
            let _ = stream.write_all(&bytes);
        }
    }
}

fn run_stray_refusals(folder: &str) -> io::Result<i32> {
    let record = Record::create(folder)?;
    let store = Store::start()?;
    let table = Arc::new(RunTable::default());
    let routes = "{\"name\":\"r-pay\",\"host\":\"shop.example\",\"path_prefix\":\"/pay/\",\"kind\":\"unsafe\",\
                  \"timeout_ms\":3000,\"target_latency_ms\":300,\"priority\":1,\"service\":\"booking\",\
                  \"max_attempts\":2,\"stages\":[],\"allow_anonymous\":true},\
                  {\"name\":\"r-hold\",\"host\":\"shop.example\",\"path_prefix\":\"/hold/\",\"kind\":\"unsafe\",\
                  \"timeout_ms\":3000,\"target_latency_ms\":300,\"priority\":1,\"service\":\"booking\",\
                  \"max_attempts\":1,\"stages\":[],\"allow_anonymous\":true}";
    store.put(
        "config",
        "main",
        configuration(routes).ok_or(io::ErrorKind::InvalidData)?,
    );
    let mut runners = Vec::new();
    for (index, zone) in ["hal-a", "hal-b", "hal-c"].iter().enumerate() {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let mut runner = PlainRunner::new(
            format!("i-{index}"),
            2,
            Duration::from_millis(50),
            &record,
            &table,
        );
        if index == 0 && has_trouble() {
            runner.repeats_every = 2;
        }
        let runner = Arc::new(runner);
        register_runner(
            &store,
            &runner.id,
            "booking",
            listener.local_addr()?,
            zone,
            runner.slots,
        );
        let served = runner.clone();
        serve(listener, move |stream| served.serve_connection(stream));
        runners.push(runner);
    }
    let mut fleet = Fleet::new(3, store.address)?;
    fleet.start()?;
    if fleet.wait_ready(Duration::from_secs(25)) < fleet.nodes.len() {
        record.line("not all nodes became ready");
        return Ok(2);
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<(String, u16, bool)>>> = Arc::default();
    let mut clients = Vec::new();
    for index in 0..13 {
        let front = fleet.nodes[index % fleet.nodes.len()].front;
        let node = fleet.nodes[index % fleet.nodes.len()].name.clone();
        let (is_over, answers, record) = (is_over.clone(), answers.clone(), record.clone());
        clients.push(thread::spawn(move || {
            let mut connection = None;
            while !is_over.load(Ordering::SeqCst) {
                let path = if index % 2 == 0 {
                    "/pay/now"
                } else {
                    "/hold/now"
                };
                let id = new_id();
                if connection.is_none() {
                    connection = ClientConnection::open(front).ok();
                }
                let Some(open) = &mut connection else {
                    thread::sleep(Duration::from_millis(100));
                    continue;
                };
                record.line(&format!("client {index} sends {id} to {node}: POST {path}"));
                let answer = open
                    .send("POST", path, &id, 3000, b"amount=1")
                    .and_then(|()| open.receive(None));
                match answer {
                    Ok(Some(answer)) if answer.is_whole => {
                        let has_stamp = answer.header("x-turnford-server-stamp").is_some();
                        let text = format!(
                            "client {index} gets {} for {id}, stamp {has_stamp}",
                            answer.status()
                        );
                        record.line(&text);
                        answers
                            .lock()
                            .unwrap()
                            .push((id, answer.status(), has_stamp));
                        if answer
                            .header("connection")
                            .is_some_and(|text| text.contains("close"))
                        {
                            connection = None;
                        }
                    }
                    _ => {
                        record.line(&format!("client {index} gets no answer for {id}"));
                        connection = None;
                    }
                }
                thread::sleep(Duration::from_millis(35 + (index as u64 * 13) % 50));
            }
        }));
    }
    thread::sleep(Duration::from_secs(15));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(300));
    let runs = table.runs.lock().unwrap();
    let answers = answers.lock().unwrap();
    let twice: Vec<(&String, &Vec<String>)> = runs
        .iter()
        .filter(|(_, runners)| runners.len() > 1)
        .collect();
    for (id, runners) in &twice {
        record.line(&format!("TWICE: {id} ran at {}", runners.join(" and ")));
    }
    let is_promise = |status: u16| [408, 421, 429, 503].contains(&status);
    let refused = answers
        .iter()
        .filter(|(id, status, _)| is_promise(*status) && runs.contains_key(id));
    let refused: Vec<&(String, u16, bool)> = refused.collect();
    for (id, status, _) in &refused {
        record.line(&format!("REFUSED: {id} was answered {status}, and has run"));
    }
    let served = answers
        .iter()
        .filter(|(_, status, _)| *status == 200)
        .count();
    let strays: usize = runners
        .iter()
        .map(|runner| runner.strays.load(Ordering::SeqCst))
        .sum();
    let given = runners[0].answers.load(Ordering::SeqCst);
    let summary = format!(
        "requests answered {}, served {served}, answers too many {strays} of {given} of that runner, ran twice {}, \
         refused though run {}",
        answers.len(),
        twice.len(),
        refused.len()
    );
    record.line(&summary);
    println!("{summary}");
    if served < 100 || (has_trouble() && strays == 0) {
        return Ok(2);
    }
    Ok(i32::from(!twice.is_empty()))
}

// ---------------------------------------------------------------------------------------------
// Further: a planned stop while clients read long answers

/// Bytes of an answer, and the bytes that a client reads a second: a link of 16 Mbit/s. Reading an answer takes
/// less than the grace time of 8 s.
const ANSWER_BYTES: usize = 14_000_000;
const CLIENT_PACE: u64 = 2_000_000;

fn serve_documents(stream: TcpStream, id: &str, record: &Record) {
    let Ok(clone) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(clone);
    let mut stream = stream;
    while let Ok(Some(request)) = read_message(&mut reader, None) {
        let attempt = request
            .header("x-turnford-attempt-id")
            .unwrap_or("")
            .to_owned();
        let stamp = format!("stamp.{id}.{attempt}");
        let headers = [
            ("X-Turnford-Attempt-Id", attempt.as_str()),
            ("X-Turnford-Server-Stamp", stamp.as_str()),
            ("Keep-Alive", "timeout=10"),
        ];
        record.line(&format!("{id} runs {attempt}"));
        let bytes = response("200 OK", &headers, &vec![b'x'; ANSWER_BYTES]);
        let is_sent = stream.write_all(&bytes).is_ok();
        record.line(&format!(
            "{id} has answered {attempt} with {ANSWER_BYTES} bytes: {is_sent}"
        ));
    }
}

fn run_slow_readers(folder: &str) -> io::Result<i32> {
    let record = Record::create(folder)?;
    let store = Store::start()?;
    let routes = "{\"name\":\"r-doc\",\"host\":\"shop.example\",\"path_prefix\":\"/doc/\",\"kind\":\"unsafe\",\
                  \"timeout_ms\":20000,\"target_latency_ms\":2000,\"priority\":1,\"service\":\"booking\",\
                  \"max_attempts\":1,\"stages\":[],\"allow_anonymous\":true}";
    store.put(
        "config",
        "main",
        configuration(routes).ok_or(io::ErrorKind::InvalidData)?,
    );
    for (index, zone) in ["hal-a", "hal-b"].iter().enumerate() {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let id = format!("i-{index}");
        register_runner(&store, &id, "booking", listener.local_addr()?, zone, 6);
        let record = record.clone();
        serve(listener, move |stream| {
            serve_documents(stream, &id, &record)
        });
    }
    let mut fleet = Fleet::new(2, store.address)?;
    fleet.start()?;
    if fleet.wait_ready(Duration::from_secs(25)) < fleet.nodes.len() {
        record.line("not all nodes became ready");
        return Ok(2);
    }
    // The links are left alone for longer than `contact_ms`.
    thread::sleep(Duration::from_secs(4));
    let front = fleet.nodes[0].front;
    let mut clients = Vec::new();
    for index in 0..3 {
        let record = record.clone();
        clients.push(thread::spawn(move || -> io::Result<bool> {
            let id = new_id();
            let mut connection = ClientConnection::open(front)?;
            set_small_window(&connection.stream);
            record.line(&format!(
                "client {index} sends {id} to front-0: POST /doc/all"
            ));
            connection.send("POST", "/doc/all", &id, 20_000, b"all=1")?;
            let answer = connection.receive(Some(CLIENT_PACE))?;
            let (status, read, is_whole) = answer.map_or((0, 0, false), |answer| {
                (answer.status(), answer.body.len(), answer.is_whole)
            });
            let end = if is_whole {
                "whole"
            } else {
                "LOST: it ends early"
            };
            record.line(&format!(
                "client {index} gets {status} for {id}, {read} bytes of the body, {end}"
            ));
            Ok(is_whole)
        }));
    }
    thread::sleep(Duration::from_millis(800));
    if has_trouble() {
        if let Some(child) = &fleet.nodes[0].child {
            record.line("SIGTERM to front-0");
            send_signal(child, "TERM");
        }
    }
    let started = Instant::now();
    let mut exit = None;
    while started.elapsed() < Duration::from_secs(9) {
        if let Some(child) = &mut fleet.nodes[0].child {
            if exit.is_none() && child.try_wait()?.is_some() {
                exit = Some(started.elapsed());
                record.line("front-0 has ended by itself");
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    let ends: Vec<bool> = clients
        .into_iter()
        .map(|client| matches!(client.join(), Ok(Ok(true))))
        .collect();
    let lost = ends.iter().filter(|is_whole| !**is_whole).count();
    let exit = exit.map_or("-".to_owned(), |after| {
        format!("{:.1} s after SIGTERM", after.as_secs_f64())
    });
    let summary = format!(
        "answers {}, lost {lost}, end of the node {exit}",
        ends.len()
    );
    record.line(&summary);
    println!("{summary}");
    Ok(i32::from(lost > 0))
}

// ---------------------------------------------------------------------------------------------
// Case 3: a large entry of another writer that can't be read, and a restart of all nodes

/// Sends requests to all nodes for a time. Returns how many were sent and how many were served.
fn send_for(fleet: &Fleet, record: &Arc<Record>, time: Duration) -> (usize, usize) {
    let until = Instant::now() + time;
    let clients: Vec<_> = fleet
        .nodes
        .iter()
        .map(|node| {
            let (front, name, record) = (node.front, node.name.clone(), record.clone());
            thread::spawn(move || {
                let (mut sent, mut served) = (0, 0);
                while Instant::now() < until {
                    let id = new_id();
                    record.line(&format!("client sends {id} to {name}: GET /price/7"));
                    let answer = ClientConnection::open(front).and_then(|mut connection| {
                        connection.send("GET", "/price/7", &id, 3000, b"")?;
                        connection.receive(None)
                    });
                    sent += 1;
                    let text = match answer {
                        Ok(Some(answer)) if answer.is_whole => {
                            served += usize::from(answer.status() == 200);
                            answer.status().to_string()
                        }
                        Ok(_) => "no whole answer".to_owned(),
                        Err(error) => error.to_string(),
                    };
                    record.line(&format!("client gets {text} for {id}"));
                    thread::sleep(Duration::from_millis(200));
                }
                (sent, served)
            })
        })
        .collect();
    let counts = clients.into_iter().filter_map(|client| client.join().ok());
    counts.fold((0, 0), |sum, counts| (sum.0 + counts.0, sum.1 + counts.1))
}

fn run_foreign_entry(folder: &str) -> io::Result<i32> {
    let record = Record::create(folder)?;
    let store = Store::start()?;
    let table = Arc::new(RunTable::default());
    let routes = "{\"name\":\"r-price\",\"host\":\"shop.example\",\"path_prefix\":\"/price/\",\"kind\":\"safe\",\
                  \"timeout_ms\":3000,\"target_latency_ms\":300,\"priority\":1,\"service\":\"booking\",\
                  \"max_attempts\":2,\"stages\":[],\"allow_anonymous\":true}";
    store.put(
        "config",
        "main",
        configuration(routes).ok_or(io::ErrorKind::InvalidData)?,
    );
    for index in 1..=4 {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let runner = PlainRunner::new(
            format!("i-{index}000"),
            6,
            Duration::from_millis(15),
            &record,
            &table,
        );
        let runner = Arc::new(runner);
        register_runner(
            &store,
            &runner.id,
            "booking",
            listener.local_addr()?,
            "hal-a",
            runner.slots,
        );
        serve(listener, move |stream| runner.serve_connection(stream));
    }
    let mut fleet = Fleet::new(3, store.address)?;
    fleet.start()?;
    if fleet.wait_ready(Duration::from_secs(25)) < fleet.nodes.len() {
        record.line("not all nodes became ready");
        return Ok(2);
    }
    let before = send_for(&fleet, &record, Duration::from_secs(4));
    if has_trouble() {
        // Within `value_bytes`; the text ends in half of a pair of surrogates, as cut texts do.
        let name = std::env::var("FOREIGN_NAME").unwrap_or_else(|_| "i-2500".to_owned());
        let text = format!("{}\\ud83d", "x".repeat(1_000_000));
        store.put(
            "servers",
            &name,
            Json::Object(vec![("note".to_owned(), Json::Text(text))]),
        );
        record.line(&format!(
            "another writer writes servers/{name}, about 1 MB that can't be read"
        ));
    }
    if std::env::var_os("COMPACT").is_some() {
        // The store changes and forgets its history, so that running nodes list again.
        thread::sleep(Duration::from_millis(500));
        store.put("other", "thing", Json::Text("1".to_owned()));
        store.forget_history();
        record.line("the store forgets its history");
        thread::sleep(Duration::from_millis(500));
    }
    let lists_before = store.lists.load(Ordering::SeqCst);
    let while_there = send_for(&fleet, &record, Duration::from_secs(4));
    let lists = store.lists.load(Ordering::SeqCst) - lists_before;
    record.line(&format!(
        "the running nodes have read lists {lists} times since"
    ));
    record.line("all processes are killed");
    fleet.kill_all();
    thread::sleep(Duration::from_secs(1));
    let lists_before = store.lists.load(Ordering::SeqCst);
    fleet.start()?;
    record.line("all processes are started again");
    // `recovery_s`
    thread::sleep(Duration::from_secs(12));
    let ready = fleet
        .nodes
        .iter()
        .filter(|node| is_ready(node.ready))
        .count();
    record.line(&format!(
        "12 s later {ready} of {} nodes say that they are ready",
        fleet.nodes.len()
    ));
    let after = send_for(&fleet, &record, Duration::from_secs(8));
    let lists = store.lists.load(Ordering::SeqCst) - lists_before;
    let summary = format!(
        "served before {} of {}, with the entry there {} of {}, later than 12 s after the restart {} of {}; \
         ready {ready}, lists read since the restart {lists}",
        before.1, before.0, while_there.1, while_there.0, after.1, after.0
    );
    record.line(&summary);
    println!("{summary}");
    if before.1 * 4 < before.0 {
        return Ok(2);
    }
    Ok(i32::from(after.1 * 4 < after.0))
}

// ---------------------------------------------------------------------------------------------
// Case 2: connections to a runner that go silent in the middle of its answers

/// `timeout_ms` of the route, and how long a client waits for an answer.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(4000);
const CLIENT_PATIENCE: Duration = Duration::from_millis(9000);

/// Times from the first request on at which connections fall silent, and for how long each time. By the timeout
/// of the last request that is hit, this is over for longer than `contact_ms`.
const SILENT_AT: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(14)];
const SILENT_FOR: Duration = Duration::from_millis(800);

fn run_hanging_answers(folder: &str) -> io::Result<i32> {
    let record = Record::create(folder)?;
    let store = Store::start()?;
    let table = Arc::new(RunTable::default());
    let routes = "{\"name\":\"r-hold\",\"host\":\"shop.example\",\"path_prefix\":\"/hold/\",\"kind\":\"unsafe\",\
                  \"timeout_ms\":4000,\"target_latency_ms\":300,\"priority\":1,\"service\":\"booking\",\
                  \"max_attempts\":1,\"stages\":[],\"allow_anonymous\":true},\
                  {\"name\":\"r-price\",\"host\":\"shop.example\",\"path_prefix\":\"/price/\",\"kind\":\"safe\",\
                  \"timeout_ms\":4000,\"target_latency_ms\":300,\"priority\":1,\"service\":\"booking\",\
                  \"max_attempts\":2,\"stages\":[],\"allow_anonymous\":true}";
    store.put(
        "config",
        "main",
        configuration(routes).ok_or(io::ErrorKind::InvalidData)?,
    );
    let mut runners = Vec::new();
    for (index, zone) in ["hal-a", "hal-b", "hal-c", "hal-c"].iter().enumerate() {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let runner = PlainRunner::new(
            format!("i-{index}"),
            24,
            Duration::from_millis(60),
            &record,
            &table,
        );
        let runner = Arc::new(runner);
        register_runner(
            &store,
            &runner.id,
            "booking",
            listener.local_addr()?,
            zone,
            runner.slots,
        );
        runners.push(runner.clone());
        serve(listener, move |stream| runner.serve_connection(stream));
    }
    let mut fleet = Fleet::new(3, store.address)?;
    fleet.start()?;
    if fleet.wait_ready(Duration::from_secs(25)) < fleet.nodes.len() {
        record.line("not all nodes became ready");
        return Ok(2);
    }
    // The nodes are left alone for longer than `contact_ms`.
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    // Time until the whole answer, or `None`.
    let ends: Arc<Mutex<Vec<Option<Duration>>>> = Arc::default();
    let mut clients = Vec::new();
    for index in 0..24 {
        let node = &fleet.nodes[index % fleet.nodes.len()];
        let (front, node) = (node.front, node.name.clone());
        let (is_over, ends, record) = (is_over.clone(), ends.clone(), record.clone());
        clients.push(thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let id = new_id();
                let (method, path) = if index % 2 == 0 {
                    ("POST", "/hold/now")
                } else {
                    ("GET", "/price/7")
                };
                let body: &[u8] = if index % 2 == 0 { b"amount=1" } else { b"" };
                record.line(&format!(
                    "client {index} sends {id} to {node}: {method} {path}"
                ));
                let started = Instant::now();
                let answer = ClientConnection::open(front).and_then(|mut connection| {
                    connection.send(method, path, &id, 10_000, body)?;
                    connection.stream.set_read_timeout(Some(CLIENT_PATIENCE))?;
                    connection.receive(None)
                });
                let after = started.elapsed();
                let (end, text) = match answer {
                    Ok(Some(answer)) if answer.is_whole => {
                        (Some(after), answer.status().to_string())
                    }
                    Ok(_) => (None, "no whole answer".to_owned()),
                    Err(_) => (None, "no answer".to_owned()),
                };
                record.line(&format!(
                    "client {index} gets {text} for {id} after {:.2} s",
                    after.as_secs_f64()
                ));
                ends.lock().unwrap().push(end);
                thread::sleep(Duration::from_millis(150));
            }
        }));
    }
    let started = Instant::now();
    for at in SILENT_AT {
        thread::sleep(at.saturating_sub(started.elapsed()));
        let set_silent = |before: Option<Instant>| {
            for runner in &runners[..2] {
                *runner.silent_before.lock().unwrap() = before;
            }
        };
        set_silent(has_trouble().then(Instant::now));
        thread::sleep(SILENT_FOR);
        set_silent(None);
    }
    thread::sleep(Duration::from_secs(20).saturating_sub(started.elapsed()));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let ends = ends.lock().unwrap();
    let open_at = |time: Duration| {
        ends.iter()
            .filter(|end| end.is_none_or(|end| end > time))
            .count()
    };
    let outlast = open_at(ROUTE_TIMEOUT);
    let late = open_at(ROUTE_TIMEOUT + Duration::from_millis(500));
    let never = ends.iter().filter(|end| end.is_none()).count();
    let summary = format!(
        "requests {}, without an answer at timeout_ms {outlast}, 0.5 s later {late}, 5 s later {never}",
        ends.len()
    );
    record.line(&summary);
    println!("{summary}");
    if ends.len() < 200 {
        return Ok(2);
    }
    Ok(i32::from(late >= 8 && late * 4 > outlast))
}

// ---------------------------------------------------------------------------------------------
// Further: many clients with the largest bodies that the configuration allows

/// Memory of a machine, above which the platform kills a process, and `max_body_bytes`.
const MEMORY_BYTES: u64 = 260_000_000;
const LARGEST_BODY: usize = 4_194_304;

/// Returns the resident memory of a process in bytes.
fn resident_bytes(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

fn run_large_bodies(folder: &str) -> io::Result<i32> {
    let record = Record::create(folder)?;
    let store = Store::start()?;
    let table = Arc::new(RunTable::default());
    let routes = "{\"name\":\"r-scan\",\"host\":\"shop.example\",\"path_prefix\":\"/scan/\",\"kind\":\"unsafe\",\
                  \"timeout_ms\":20000,\"target_latency_ms\":3000,\"priority\":1,\"service\":\"booking\",\
                  \"max_attempts\":1,\"stages\":[],\"allow_anonymous\":true}";
    store.put(
        "config",
        "main",
        configuration(routes).ok_or(io::ErrorKind::InvalidData)?,
    );
    for index in 0..4 {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let runner = PlainRunner::new(
            format!("i-{index}"),
            64,
            Duration::from_millis(2000),
            &record,
            &table,
        );
        let runner = Arc::new(runner);
        register_runner(
            &store,
            &runner.id,
            "booking",
            listener.local_addr()?,
            "hal-a",
            runner.slots,
        );
        serve(listener, move |stream| runner.serve_connection(stream));
    }
    let mut fleet = Fleet::new(3, store.address)?;
    fleet.start()?;
    if fleet.wait_ready(Duration::from_secs(25)) < fleet.nodes.len() {
        record.line("not all nodes became ready");
        return Ok(2);
    }
    let clients_per_node = if has_trouble() { 40 } else { 8 };
    let mut ends = vec![0; fleet.nodes.len()];
    let mut most = 0;
    let mut counts = (0, 0);
    for _ in 0..3 {
        let mut clients = Vec::new();
        for node in &fleet.nodes[..2] {
            for _ in 0..clients_per_node {
                let (front, name, record) = (node.front, node.name.clone(), record.clone());
                clients.push(thread::spawn(move || {
                    let id = new_id();
                    record.line(&format!(
                        "client sends {id} to {name}: POST /scan/1, {LARGEST_BODY} bytes"
                    ));
                    let answer = ClientConnection::open(front).and_then(|mut connection| {
                        connection.send(
                            "POST",
                            "/scan/1",
                            &id,
                            15_000,
                            &vec![b'x'; LARGEST_BODY],
                        )?;
                        connection.receive(None)
                    });
                    let status = answer.ok().flatten().map_or(0, |answer| answer.status());
                    record.line(&format!("client gets {status} for {id}"));
                    status == 200
                }));
            }
        }
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(8) {
            for (index, node) in fleet.nodes.iter_mut().enumerate() {
                let Some(child) = &mut node.child else {
                    continue;
                };
                let resident = resident_bytes(child.id());
                most = most.max(resident);
                if resident > MEMORY_BYTES {
                    let text = format!(
                        "{} uses {} MB and is killed",
                        node.name,
                        resident / 1_000_000
                    );
                    record.line(&text);
                    let _ = child.kill();
                    let _ = child.wait();
                    node.child = None;
                    ends[index] += 1;
                }
            }
            if started.elapsed() > Duration::from_secs(3) {
                fleet.start()?;
            }
            thread::sleep(Duration::from_millis(10));
        }
        for client in clients {
            counts.0 += 1;
            counts.1 += usize::from(matches!(client.join(), Ok(true)));
        }
        fleet.wait_ready(Duration::from_secs(10));
    }
    let summary = format!(
        "served {} of {}, most memory {} MB, ends of the nodes {ends:?}",
        counts.1,
        counts.0,
        most / 1_000_000
    );
    record.line(&summary);
    println!("{summary}");
    Ok(i32::from(
        ends.iter().filter(|count| **count >= 3).count() >= 2,
    ))
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    start_watchdog();
    let result = match case.as_str() {
        "stray-refusals" => run_stray_refusals(folder),
        "slow-readers" => run_slow_readers(folder),
        "hanging-answers" => run_hanging_answers(folder),
        "large-bodies" => run_large_bodies(folder),
        "foreign-entry" => run_foreign_entry(folder),
        _ => Err(io::ErrorKind::NotFound.into()),
    };
    let status = result.unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        2
    });
    std::process::exit(status);
}
