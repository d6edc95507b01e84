//! A stand-in for a minion: runs tasks under leases as the users' pages say.

use std::collections::{BTreeMap, HashMap};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Connection, Request};
use crate::record::Record;

/// Interval at which a minion checks its runs.
const STEP: Duration = Duration::from_millis(4);
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const HEARTBEAT_RETRY: Duration = Duration::from_millis(100);
/// Longest lease, `holdMaxMs`.
const HOLD_MAX_MS: u64 = 1_000;

/// A run at a minion.
#[derive(Clone, Debug)]
pub struct Run {
    pub run: u64,
    pub began_ms: u64,
    work_ms: u64,
    fails: bool,
}

/// What a minion has seen of one run, for the judgement.
#[derive(Clone, Debug)]
pub struct RunEvent {
    pub task: String,
    pub run: u64,
    pub minion: String,
    /// Milliseconds of the record.
    pub started_ms: u64,
    pub ended_ms: Option<u64>,
    pub how: &'static str,
    /// When `lastSeen` reached the end; `None` if it didn't, or if the lease had lapsed before.
    pub noted_ms: Option<u64>,
    /// When it had been acknowledged that the minion drains, before the start.
    pub drain_acked_ms: Option<u64>,
}

#[derive(Default)]
struct State {
    id: String,
    born: u64,
    begun: Option<Instant>,
    life: u64,
    alive: bool,
    draining: bool,
    /// When the runner acknowledged that the minion drains.
    drain_acked_ms: Option<u64>,
    fence: u64,
    lease_until: u64,
    /// Number of times that the lease was found lapsed.
    lapses: u64,
    running: BTreeMap<String, Run>,
    closed: HashMap<String, u64>,
    /// Number, task, run, how, number of lapses before, index of the event.
    finished: Vec<(u64, String, u64, &'static str, u64, usize)>,
    next_end: u64,
    events: Vec<RunEvent>,
    open_events: HashMap<(String, u64), usize>,
    streams: Vec<TcpStream>,
    /// Until then a share of the orders is left unanswered and carried out late.
    late_until: Option<Instant>,
    /// Until then calls are carried out and not answered.
    mute_until: Option<Instant>,
    /// Until then connections are closed instead of an answer.
    reset_until: Option<Instant>,
    orders: u64,
}

pub struct Minion {
    pub index: usize,
    app: SocketAddr,
    control: SocketAddr,
    service: String,
    zone: String,
    cpu: u64,
    labels: Vec<String>,
    record: Arc<Record>,
    state: Mutex<State>,
    ended: Condvar,
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now();
    now.duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Reads a number after a key in the spec, such as `work=300`.
fn spec_number(spec: &str, key: &str) -> Option<u64> {
    let parts = spec.split(';');
    parts
        .filter_map(|part| part.split_once('='))
        .find(|(name, _)| *name == key)?
        .1
        .parse()
        .ok()
}

impl Minion {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        index: usize,
        app: SocketAddr,
        control: SocketAddr,
        service: &str,
        zone: &str,
        cpu: u64,
        rack: &str,
        record: Arc<Record>,
    ) -> Arc<Self> {
        let minion = Arc::new(Self {
            index,
            app,
            control,
            service: service.to_owned(),
            zone: zone.to_owned(),
            cpu,
            labels: vec!["a".to_owned(), rack.to_owned()],
            record,
            state: Mutex::default(),
            ended: Condvar::new(),
        });
        let stepping = Arc::clone(&minion);
        thread::spawn(move || {
            loop {
                thread::sleep(STEP);
                stepping.step();
            }
        });
        minion
    }

    /// Starts a new life under a new id.
    pub fn start(self: &Arc<Self>) {
        self.start_as(None);
    }

    fn start_as(self: &Arc<Self>, id: Option<String>) {
        let listener = loop {
            match TcpListener::bind(self.app) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        };
        listener.set_nonblocking(true).expect("it can be polled");
        let life = {
            let mut state = self.state.lock().unwrap();
            state.life += 1;
            state.id = id.unwrap_or_else(|| format!("i-{}-{}", self.index, state.life));
            state.drain_acked_ms = None;
            state.born = unix_ms();
            state.begun = Some(Instant::now());
            state.alive = true;
            state.draining = false;
            state.fence = 0;
            state.lease_until = 0;
            state.running.clear();
            state.closed.clear();
            state.finished.clear();
            state.next_end = 1;
            self.record.note(format!("minion {} is up", state.id));
            state.life
        };
        let accepting = Arc::clone(self);
        thread::spawn(move || accepting.accept(&listener, life));
        let beating = Arc::clone(self);
        thread::spawn(move || beating.beat(life));
    }

    /// Starts a new life under the id of the last one.
    pub fn start_alike(self: &Arc<Self>) {
        let id = self.id();
        self.start_as(Some(id));
    }

    /// Leaves as planned: reports that it drains, deregisters after `span` and ends.
    pub fn leave(&self, span: Duration) {
        self.drain();
        thread::sleep(span);
        let path = format!("/hemlockridge/instances/{}", self.id());
        http::call(
            self.control,
            "DELETE",
            &path,
            "runner",
            "",
            "",
            Duration::from_secs(1),
        );
        self.crash();
    }

    /// Ends the process of the minion, with all that it runs.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        if !state.alive {
            return;
        }
        self.record.note(format!(
            "minion {} crashes with {:?}",
            state.id,
            state.running.keys().collect::<Vec<_>>()
        ));
        state.alive = false;
        state.life += 1;
        let running: Vec<(String, u64)> = state
            .running
            .iter()
            .map(|(t, r)| (t.clone(), r.run))
            .collect();
        for (task, run) in running {
            self.close_event(&mut state, &task, run, "crashed");
        }
        state.running.clear();
        for stream in state.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn drain(&self) {
        self.state.lock().unwrap().draining = true;
        self.record.note(format!("minion {} drains", self.id()));
    }

    /// Leaves about one in `LATE_SHARE` orders unanswered for a while, and carries them out late.
    pub fn execute_late_for(&self, span: Duration) {
        self.state.lock().unwrap().late_until = Some(Instant::now() + span);
    }

    /// Carries calls out without an answer for a while.
    pub fn mute_for(&self, span: Duration) {
        self.state.lock().unwrap().mute_until = Some(Instant::now() + span);
    }

    /// Closes connections without an answer for a while.
    pub fn reset_for(&self, span: Duration) {
        self.state.lock().unwrap().reset_until = Some(Instant::now() + span);
    }

    pub fn id(&self) -> String {
        self.state.lock().unwrap().id.clone()
    }

    pub fn born(&self) -> u64 {
        self.state.lock().unwrap().born
    }

    pub fn runs(&self) -> BTreeMap<String, Run> {
        self.state.lock().unwrap().running.clone()
    }

    pub fn events(&self) -> Vec<RunEvent> {
        self.state.lock().unwrap().events.clone()
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener, life: u64) {
        loop {
            if self.state.lock().unwrap().life != life {
                return;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    if let Ok(copy) = stream.try_clone() {
                        let mut state = self.state.lock().unwrap();
                        if state.life != life {
                            return;
                        }
                        state.streams.push(copy);
                    }
                    let minion = Arc::clone(self);
                    thread::spawn(move || minion.serve(stream, life));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, stream: TcpStream, life: u64) {
        let mut connection = Connection::new(stream);
        while let Some(request) = connection.read_request() {
            match self.answer(&request, life) {
                Some((status, body)) => {
                    if !connection.send_reply(status, &body) {
                        return;
                    }
                }
                None => return,
            }
        }
    }

    fn beat(&self, life: u64) {
        let mut seq = 0;
        loop {
            let (path, body) = {
                let state = self.state.lock().unwrap();
                if state.life != life {
                    return;
                }
                seq += 1;
                let body = json!({
                    "service": self.service, "addr": self.app.to_string(), "zone": self.zone,
                    "version": "v1", "slots": 8,
                    "state": if state.draining { "draining" } else { "ready" },
                    "coldLeftMs": 0, "capacity": {"cpu": self.cpu, "memMb": 262_144, "gpu": 0},
                    "labels": self.labels, "clockMs": clock_ms(&state), "born": state.born,
                    "seq": seq,
                });
                (
                    format!("/hemlockridge/instances/{}", state.id),
                    body.to_string(),
                )
            };
            let reply = http::call(
                self.control,
                "PUT",
                &path,
                "runner",
                "",
                &body,
                Duration::from_secs(1),
            );
            let acknowledged = reply.is_some_and(|reply| reply.status / 100 == 2);
            if acknowledged && body.contains("\"draining\"") {
                let mut state = self.state.lock().unwrap();
                let now_ms = self.record.now_ms();
                if state.life == life {
                    state.drain_acked_ms.get_or_insert(now_ms);
                }
            }
            match acknowledged {
                true => thread::sleep(HEARTBEAT),
                false => thread::sleep(HEARTBEAT_RETRY),
            }
        }
    }

    fn step(&self) {
        let mut state = self.state.lock().unwrap();
        if !state.alive {
            return;
        }
        let now_ms = clock_ms(&state);
        if now_ms >= state.lease_until {
            state.lapses += 1;
            let running: Vec<String> = state.running.keys().cloned().collect();
            for task in running {
                self.end(&mut state, &task, "lapsed");
            }
        }
        let due: Vec<(String, bool)> = state
            .running
            .iter()
            .filter(|(_, run)| now_ms >= run.began_ms + run.work_ms)
            .map(|(task, run)| (task.clone(), run.fails))
            .collect();
        for (task, fails) in due {
            self.end(&mut state, &task, if fails { "failed" } else { "done" });
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        close(state, task, run.run);
        let number = state.next_end;
        state.next_end += 1;
        let event = self.close_event(state, task, run.run, how);
        let lapses = state.lapses;
        state
            .finished
            .push((number, task.to_owned(), run.run, how, lapses, event));
        self.ended.notify_all();
    }

    fn close_event(&self, state: &mut State, task: &str, run: u64, how: &'static str) -> usize {
        let Some(event) = state.open_events.remove(&(task.to_owned(), run)) else {
            return usize::MAX;
        };
        state.events[event].ended_ms = Some(self.record.now_ms());
        state.events[event].how = how;
        self.record
            .note(format!("{} ends {task} run {run}: {how}", state.id));
        event
    }

    fn answer(&self, request: &Request, life: u64) -> Option<(u16, Value)> {
        let is_order = request.path != "/hemlockridge/hold";
        {
            let mut state = self.state.lock().unwrap();
            if state.life != life {
                return None;
            }
            state.orders += 1;
            let is_late = state.late_until.is_some_and(|until| Instant::now() < until);
            // One order in sixteen.
            if is_order && is_late && state.orders.is_multiple_of(16) {
                let delay_ms = 2_000 + state.orders * 7_919 % 10_000;
                self.record.note(format!(
                    "{} leaves {} {} unanswered, carries it out {delay_ms} ms later",
                    state.id, request.path, request.body["task"]
                ));
                drop(state);
                thread::sleep(Duration::from_millis(delay_ms));
                if self.state.lock().unwrap().life == life {
                    self.execute(request, life);
                }
                return None;
            }
        }
        let is_now = |until: Option<Instant>| until.is_some_and(|until| Instant::now() < until);
        if is_now(self.state.lock().unwrap().reset_until) {
            return None;
        }
        if !is_order {
            self.await_end(request, life);
        }
        let answer = self.execute(request, life);
        if is_now(self.state.lock().unwrap().mute_until) {
            thread::sleep(Duration::from_secs(20));
            return None;
        }
        answer
    }

    fn await_end(&self, request: &Request, life: u64) {
        let wait = Duration::from_millis(request.body["waitMs"].as_u64().unwrap_or(0));
        let seen = request.body["lastSeen"].as_u64().unwrap_or(0);
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        while state.life == life && !state.finished.iter().any(|end| end.0 > seen) {
            let Some(left) = until.checked_duration_since(Instant::now()) else {
                return;
            };
            state = self.ended.wait_timeout(state, left).unwrap().0;
        }
    }

    fn execute(&self, request: &Request, life: u64) -> Option<(u16, Value)> {
        let mut state = self.state.lock().unwrap();
        if state.life != life {
            return None;
        }
        let body = &request.body;
        let number = |name: &str| body[name].as_u64().unwrap_or(0);
        let now_ms = clock_ms(&state);
        let born = state.born;
        let reply = |status: u16, reason: &str| match reason {
            "" => Some((status, json!({"clockMs": now_ms, "born": born}))),
            reason => Some((
                status,
                json!({"clockMs": now_ms, "born": born, "reason": reason}),
            )),
        };
        if request.method != "POST" {
            return Some((404, Value::Null));
        }
        if request
            .target
            .as_ref()
            .is_some_and(|target| *target != state.id)
        {
            return reply(421, "");
        }
        let fence = number("fencingToken");
        if fence < state.fence {
            return reply(409, "fence");
        }
        state.fence = fence;
        let extend = |state: &mut State, deadline: u64| {
            state.lease_until = state.lease_until.max(deadline.min(now_ms + HOLD_MAX_MS));
        };
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = number("runNumber");
        match request.path.as_str() {
            "/hemlockridge/run-start" => {
                let deadline = number("deadlineMs");
                if deadline <= now_ms {
                    return reply(409, "late");
                }
                extend(&mut state, deadline);
                let current = state.running.get(&task).map(|current| current.run);
                let closed = state.closed.get(&task).copied().unwrap_or(0);
                if current == Some(run) {
                    return reply(200, "");
                }
                if current.is_some() || run <= closed {
                    return reply(409, "old");
                }
                let spec = body["spec"].as_str().unwrap_or_default();
                let work_ms = spec_number(spec, "work").unwrap_or(100);
                // The first runs of a task fail by its own fault.
                let fails = spec_number(spec, "fails").is_some_and(|share| {
                    share > 0 && (fingerprint(&task) + run).is_multiple_of(share)
                });
                let started = Run {
                    run,
                    began_ms: now_ms,
                    work_ms,
                    fails,
                };
                state.running.insert(task.clone(), started);
                self.record
                    .note(format!("{} starts {task} run {run}", state.id));
                let event = RunEvent {
                    task: task.clone(),
                    run,
                    minion: state.id.clone(),
                    started_ms: self.record.now_ms(),
                    ended_ms: None,
                    how: "",
                    noted_ms: None,
                    drain_acked_ms: state.drain_acked_ms,
                };
                let index = state.events.len();
                state.events.push(event);
                state.open_events.insert((task, run), index);
                reply(200, "")
            }
            "/hemlockridge/run-stop" => {
                close(&mut state, &task, run);
                if state
                    .running
                    .get(&task)
                    .is_some_and(|current| current.run <= run)
                {
                    self.end(&mut state, &task, "stopped");
                }
                reply(200, "")
            }
            "/hemlockridge/hold" => {
                if let Some(deadline) = body["deadlineMs"].as_u64() {
                    extend(&mut state, deadline);
                }
                let seen = number("lastSeen");
                let noted_ms = self.record.now_ms();
                let lapses = state.lapses;
                let (known, left): (Vec<_>, Vec<_>) = std::mem::take(&mut state.finished)
                    .into_iter()
                    .partition(|end| end.0 <= seen);
                state.finished = left;
                for end in known {
                    if end.4 == lapses && end.5 != usize::MAX {
                        state.events[end.5].noted_ms = Some(noted_ms);
                    }
                }
                let running: Vec<Value> = state
                    .running
                    .iter()
                    .map(|(task, run)| {
                        let percent = (now_ms - run.began_ms) * 100 / run.work_ms.max(1);
                        json!([task, run.run, "", percent.min(99), 6_000])
                    })
                    .collect();
                let finished: Vec<Value> = state
                    .finished
                    .iter()
                    .take(500)
                    .map(|end| json!([end.0, end.1, end.2, end.3, ""]))
                    .collect();
                Some((
                    200,
                    json!({"clockMs": now_ms, "born": born, "running": running, "finished": finished}),
                ))
            }
            _ => Some((404, Value::Null)),
        }
    }
}

fn clock_ms(state: &State) -> u64 {
    // A minion's clock starts anew with each life.
    1 + state
        .begun
        .map_or(0, |begun| begun.elapsed().as_millis() as u64)
}

fn close(state: &mut State, task: &str, run: u64) {
    let closed = state.closed.entry(task.to_owned()).or_default();
    *closed = run.max(*closed);
}

fn fingerprint(text: &str) -> u64 {
    text.bytes()
        .fold(7, |sum, byte| (sum * 31 + u64::from(byte)) % 1_000_003)
}
