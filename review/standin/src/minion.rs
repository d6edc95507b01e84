//! A minion: runs tasks under leases as the pages say, and writes each event to standard output.
//!
//! The `spec` of a job says how long its tasks work: `work=MS`, and `fail` if they end `failed`.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::unix_ms;

pub struct Settings {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub heartbeat_ms: u64,
    pub max_lease_ms: u64,
}

struct Run {
    number: u64,
    spec: String,
    ends_at_ms: u64,
}

#[derive(Default)]
struct State {
    running: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or has ended here.
    closed: HashMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    lease_until_ms: u64,
    fence: u64,
}

struct Minion {
    settings: Settings,
    origin: Instant,
    born_ms: u64,
    state: Mutex<State>,
}

impl Minion {
    fn clock_ms(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }

    fn log(&self, event: &str) {
        use std::io::Write;
        let mut out = std::io::stdout().lock();
        let _ = writeln!(out, "{} {} {event}", unix_ms(), self.settings.id);
        let _ = out.flush();
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        if let Some(run) = state.running.remove(task) {
            let closed = state.closed.entry(task.to_owned()).or_default();
            *closed = run.number.max(*closed);
            state.next_end += 1;
            state
                .ends
                .push((state.next_end, task.to_owned(), run.number, how));
            self.log(&format!("end {task} {} {how}", run.number));
        }
    }

    /// Ends what is due: first what has done its work, then all if the lease has expired.
    fn advance(&self, state: &mut State) {
        let now_ms = self.clock_ms();
        let lease_ms = state.lease_until_ms;
        let due: Vec<(String, &'static str)> = state
            .running
            .iter()
            .filter(|(_, run)| run.ends_at_ms <= now_ms.min(lease_ms))
            .map(|(task, run)| {
                (
                    task.clone(),
                    if run.spec.contains("fail") {
                        "failed"
                    } else {
                        "done"
                    },
                )
            })
            .collect();
        due.into_iter()
            .for_each(|(task, how)| self.end(state, &task, how));
        if now_ms >= lease_ms {
            let all: Vec<String> = state.running.keys().cloned().collect();
            all.into_iter()
                .for_each(|task| self.end(state, &task, "lapsed"));
        }
    }

    fn extend(&self, state: &mut State, deadline_ms: u64) {
        let longest = self.clock_ms() + self.settings.max_lease_ms;
        state.lease_until_ms = state.lease_until_ms.max(deadline_ms.min(longest));
    }

    fn done(&self) -> (u16, String) {
        (
            200,
            format!(
                "{{\"clockMs\":{},\"born\":{}}}",
                self.clock_ms(),
                self.born_ms
            ),
        )
    }

    fn refuse(&self, reason: &str) -> (u16, String) {
        (
            409,
            format!(
                "{{\"clockMs\":{},\"reason\":\"{reason}\",\"born\":{}}}",
                self.clock_ms(),
                self.born_ms
            ),
        )
    }

    fn is_fenced(&self, state: &mut State, body: &str) -> bool {
        let fence = http::number(body, "fencingToken").unwrap_or(0);
        let fenced = fence < state.fence;
        state.fence = state.fence.max(fence);
        fenced
    }

    fn start(&self, body: &str) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        if self.is_fenced(&mut state, body) {
            return self.refuse("fence");
        }
        let (Some(task), Some(number)) =
            (http::text(body, "task"), http::number(body, "runNumber"))
        else {
            return (400, "{}".to_owned());
        };
        let deadline_ms = http::number(body, "deadlineMs").unwrap_or(0);
        if deadline_ms <= self.clock_ms() {
            return self.refuse("late");
        }
        self.extend(&mut state, deadline_ms);
        match state.running.get(&task).map(|run| run.number) {
            Some(current) if current == number => return self.done(),
            Some(_) => return self.refuse("old"),
            None => {}
        }
        if number <= state.closed.get(&task).copied().unwrap_or(0) {
            return self.refuse("old");
        }
        let spec = http::text(body, "spec").unwrap_or_default();
        let work_ms: u64 = spec
            .split(' ')
            .find_map(|word| word.strip_prefix("work="))
            .and_then(|value| value.parse().ok())
            .unwrap_or(50);
        let ends_at_ms = self.clock_ms() + work_ms;
        self.log(&format!("start {task} {number} {spec}"));
        state.running.insert(
            task,
            Run {
                number,
                spec,
                ends_at_ms,
            },
        );
        self.done()
    }

    fn stop(&self, body: &str) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        if self.is_fenced(&mut state, body) {
            return self.refuse("fence");
        }
        let (Some(task), Some(number)) =
            (http::text(body, "task"), http::number(body, "runNumber"))
        else {
            return (400, "{}".to_owned());
        };
        let closed = state.closed.entry(task.clone()).or_default();
        *closed = number.max(*closed);
        if state
            .running
            .get(&task)
            .is_some_and(|run| run.number <= number)
        {
            self.end(&mut state, &task, "stopped");
        }
        self.done()
    }

    fn hold(&self, body: &str) -> (u16, String) {
        let seen = http::number(body, "lastSeen").unwrap_or(0);
        {
            let mut state = self.state.lock().unwrap();
            self.advance(&mut state);
            if self.is_fenced(&mut state, body) {
                return self.refuse("fence");
            }
            if let Some(deadline_ms) = http::number(body, "deadlineMs") {
                self.extend(&mut state, deadline_ms);
            }
            state.ends.retain(|(number, ..)| *number > seen);
        }
        let until = Instant::now()
            + Duration::from_millis(http::number(body, "waitMs").unwrap_or(0).min(2_000));
        loop {
            let mut state = self.state.lock().unwrap();
            self.advance(&mut state);
            if !state.ends.is_empty() || Instant::now() >= until {
                let running: Vec<String> = state
                    .running
                    .iter()
                    .map(|(task, run)| format!("[\"{task}\",{},\"\",100,6000]", run.number))
                    .collect();
                let finished: Vec<String> = state
                    .ends
                    .iter()
                    .take(500)
                    .map(|(number, task, run, how)| {
                        format!("[{number},\"{task}\",{run},\"{how}\",\"\"]")
                    })
                    .collect();
                return (
                    200,
                    format!(
                        "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
                        self.clock_ms(),
                        self.born_ms,
                        running.join(","),
                        finished.join(",")
                    ),
                );
            }
            drop(state);
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = http::read_message(&mut stream, &mut buffer) {
            let mut words = request.first_line.split(' ');
            let target = (
                words.next().unwrap_or_default(),
                words.next().unwrap_or_default(),
            );
            let is_meant = request
                .header("x-target-instance")
                .is_none_or(|id| id == self.settings.id);
            let (status, body) = match target {
                _ if !is_meant => (421, "{}".to_owned()),
                ("POST", "/hemlockridge/run-start") => self.start(&request.body),
                ("POST", "/hemlockridge/run-stop") => self.stop(&request.body),
                ("POST", "/hemlockridge/hold") => self.hold(&request.body),
                ("GET", "/healthz") => (200, "{}".to_owned()),
                _ => (404, "{}".to_owned()),
            };
            if http::write_response(&mut stream, status, &body).is_err() {
                return;
            }
        }
    }

    fn send_heartbeats(&self) {
        let labels: Vec<String> = self
            .settings
            .labels
            .iter()
            .map(|label| format!("\"{label}\""))
            .collect();
        let path = format!("/hemlockridge/instances/{}", self.settings.id);
        for seq in 1_u64.. {
            let body = format!(
                "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{{\"cpu\":{},\"memMb\":262144,\"gpu\":0}},\"labels\":[{}],\"clockMs\":{},\"seq\":{seq},\"born\":{}}}",
                self.settings.service,
                self.settings.address,
                self.settings.zone,
                self.settings.cpu,
                labels.join(","),
                self.clock_ms(),
                self.born_ms
            );
            let host = self.settings.control.to_string();
            let sent = http::call(
                self.settings.control,
                "PUT",
                &path,
                &host,
                &[],
                &body,
                Duration::from_secs(1),
            );
            let pause_ms = if sent.is_ok() {
                self.settings.heartbeat_ms
            } else {
                200
            };
            thread::sleep(Duration::from_millis(pause_ms));
        }
    }
}

pub fn run(settings: Settings) {
    let listener = TcpListener::bind(settings.address).expect("the minion's port is free");
    let minion = Arc::new(Minion {
        settings,
        origin: Instant::now(),
        born_ms: unix_ms(),
        state: Mutex::default(),
    });
    minion.log("born");
    let beating = Arc::clone(&minion);
    thread::spawn(move || beating.send_heartbeats());
    let working = Arc::clone(&minion);
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(2));
        let mut state = working.state.lock().unwrap();
        working.advance(&mut state);
    });
    for stream in listener.incoming().flatten() {
        let serving = Arc::clone(&minion);
        thread::spawn(move || serving.serve(stream));
    }
}
