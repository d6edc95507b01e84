//! A small deployment on loopback: the project's programs and minions as separate processes.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer};
use crate::unix_ms;

pub const HOST: &str = "nony24.example";
pub const SERVICE: &str = "huvo11a";
pub const ZONES: [&str; 3] = ["harju-1", "harju-2", "emajogi"];

/// An event that a minion has written: time, minion, kind, task, run, rest.
#[derive(Clone, Debug)]
pub struct Event {
    pub at_ms: u64,
    pub minion: String,
    pub kind: String,
    pub task: String,
    pub run: u64,
    pub rest: String,
}

#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<Vec<(u64, String)>>>,
    path: PathBuf,
    begun_ms: u64,
}

impl Record {
    fn new(path: PathBuf) -> Self {
        Self {
            lines: Arc::default(),
            path,
            begun_ms: unix_ms(),
        }
    }

    pub fn note(&self, text: impl Into<String>) {
        self.note_at(unix_ms(), text);
    }

    pub fn note_at(&self, at_ms: u64, text: impl Into<String>) {
        self.lines.lock().unwrap().push((at_ms, text.into()));
    }

    fn write(&self) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at_ms, _)| *at_ms);
        let mut file = fs::File::create(&self.path).expect("the record can be written");
        for (at_ms, text) in lines {
            let seconds = at_ms.saturating_sub(self.begun_ms) as f64 / 1_000.0;
            let _ = writeln!(file, "{seconds:8.3} {text}");
        }
    }
}

pub struct Plan {
    pub coordinators: usize,
    pub gateways: usize,
    /// Kind of each minion, which is a label of it.
    pub minions: Vec<&'static str>,
}

pub struct Process {
    pub name: String,
    child: Child,
}

impl Process {
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let own = self.child.id();
        STARTED.lock().unwrap().retain(|pid| *pid != own);
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }
}

pub struct Site {
    root: PathBuf,
    folder: PathBuf,
    base: (u8, u8),
    ports: Vec<u16>,
    tolerated: usize,
    pub record: Record,
    pub coordinators: Vec<Process>,
    pub gateways: Vec<Process>,
    pub runners: Vec<Process>,
    pub minions: Vec<Process>,
    kinds: Vec<&'static str>,
    seeds: Vec<SocketAddr>,
    events: Arc<Mutex<Vec<Event>>>,
}

const INTERNAL: usize = 0;
const CONTROL: usize = 1;
const FRONTEND: usize = 2;
const READINESS: usize = 3;
const APP: usize = 4;

impl Site {
    pub fn start(root: &Path, case: &Path, plan: &Plan) -> Self {
        let seed = unix_ms() ^ (u64::from(std::process::id()) << 16);
        let base = (100 + (seed % 97) as u8, (seed / 97 % 250) as u8);
        let listeners: Vec<TcpListener> = (0..5)
            .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback has free ports"))
            .collect();
        let ports = listeners
            .iter()
            .map(|bound| bound.local_addr().expect("bound").port())
            .collect();
        drop(listeners);
        let folder =
            std::env::temp_dir().join(format!("hemlock-review-{}-{seed}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut site = Self {
            root: root.to_owned(),
            folder,
            base,
            ports,
            tolerated: (plan.coordinators - 1) / 2,
            record: Record::new(case.join("record.txt")),
            coordinators: Vec::new(),
            gateways: Vec::new(),
            runners: Vec::new(),
            minions: Vec::new(),
            kinds: plan.minions.clone(),
            seeds: Vec::new(),
            events: Arc::default(),
        };
        site.seeds = (0..plan.coordinators.min(3))
            .map(|n| site.address(site.core_ip(n), CONTROL))
            .collect();
        site.coordinators = (0..plan.coordinators)
            .map(|n| site.start_coordinator(n, true))
            .collect();
        site.runners = (0..plan.minions.len())
            .map(|n| site.start_runner(n))
            .collect();
        site.minions = (0..plan.minions.len())
            .map(|n| site.start_minion(n, 0))
            .collect();
        site.gateways = (0..plan.gateways).map(|n| site.start_gateway(n)).collect();
        site
    }

    fn ip(&self, group: u8, n: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(
            127,
            self.base.0,
            self.base.1,
            group + n as u8,
        ))
    }

    fn core_ip(&self, n: usize) -> IpAddr {
        self.ip(10, n)
    }

    fn address(&self, ip: IpAddr, port: usize) -> SocketAddr {
        SocketAddr::new(ip, self.ports[port])
    }

    pub fn frontend(&self, n: usize) -> SocketAddr {
        self.address(self.ip(50, n), FRONTEND)
    }

    fn readiness(&self, n: usize) -> SocketAddr {
        self.address(self.ip(50, n), READINESS)
    }

    pub fn side_control(&self, n: usize) -> SocketAddr {
        self.address(self.ip(100, n), CONTROL)
    }

    pub fn control(&self, n: usize) -> SocketAddr {
        self.address(self.core_ip(n), CONTROL)
    }

    fn settings(
        &self,
        name: &str,
        class: &str,
        ip: IpAddr,
        zone: &str,
        more: &str,
        listen: &str,
        first: bool,
    ) -> PathBuf {
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let internal = self.ports[INTERNAL];
        let serves = match class {
            "frontend" => "frontend",
            "side" => "side",
            _ => "control_plane",
        };
        let zones: Vec<String> = ZONES
            .iter()
            .map(|zone| format!("{zone} = \"ee-kesk\""))
            .collect();
        let text = format!(
            "nodeName = \"{name}\"\nrole = \"{name}\"\nmachineClass = \"{class}\"\nserves = [\"{serves}\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"ee-kesk\"\ninternalPorts = [{internal},{internal}]\nseeds = [{}]\nbootstrap = {first}\ncountsAsLoss = {}\n{more}discovery = \"local\"\nentry = \"vip\"\nheartbeatMs = 1500\nconfig_mode = \"highest\"\ncontrolMode = \"invoke\"\n[zones]\n{}\n[listen]\n{listen}\n[limits]\ncpuShare = 0.5\ncores = 1\nmemoryMb = 256\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 128\n[faultTolerance]\nmachines = {}\nzones = 0\nregions = 0\n[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nmaxSkewMs = 5000\nrecoveryS = 12\nholdMaxMs = 1000\nstopTimeoutMs = 50\ngangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nremoteFactor = 1.5\ncheckpointS = 1\nrestoreMs = 100\nnoticeMs = 4500\nfencingEnabled = true\nleaseMs = 3000\nthawSlackMs = 300\nretransmitMs = 1300\n",
            seeds.join(","),
            class == "core",
            zones.join("\n"),
            self.tolerated,
        );
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, text).expect("settings can be written");
        path
    }

    /// Starts a program with the command of the deploy file, in the root of the repository.
    fn spawn(&self, name: &str, role: &str, settings: &Path) -> Process {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.out")))
            .expect("a log file");
        let mut command = Command::new(self.root.join("target/release/hemlock-platform"));
        command.arg(role).current_dir(&self.root).env_clear();
        for variable in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(variable) {
                command.env(variable, value);
            }
        }
        let errors = log.try_clone().expect("a log file");
        let child = command
            .env("HEMLOCKRIDGE_NODE_FILE", settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child =
            child.unwrap_or_else(|error| unable(&format!("{role} can't be started: {error}")));
        STARTED.lock().unwrap().push(child.id());
        Process {
            name: name.to_owned(),
            child,
        }
    }

    pub fn start_coordinator(&self, n: usize, first: bool) -> Process {
        let name = format!("core-{n}");
        let ip = self.core_ip(n);
        let data = format!(
            "dataDir = \"{}\"\n",
            self.folder.join(format!("data-{n}")).display()
        );
        let listen = format!("control = \"{}\"", self.address(ip, CONTROL));
        let path = self.settings(&name, "core", ip, ZONES[n % 3], &data, &listen, first);
        self.spawn(&name, "coordinator", &path)
    }

    pub fn start_gateway(&self, n: usize) -> Process {
        let name = format!("frontend-{n}");
        let listen = format!(
            "frontend = \"{}\"\nreadiness = \"{}\"",
            self.frontend(n),
            self.readiness(n)
        );
        let path = self.settings(
            &name,
            "frontend",
            self.ip(50, n),
            ZONES[n % 3],
            "",
            &listen,
            true,
        );
        self.spawn(&name, "gateway", &path)
    }

    pub fn start_runner(&self, n: usize) -> Process {
        let name = format!("side-{n}");
        let ip = self.ip(100, n);
        let app = format!("app = \"{}\"\n", self.address(ip, APP));
        let listen = format!("control = \"{}\"", self.address(ip, CONTROL));
        let path = self.settings(&name, "side", ip, ZONES[n % 3], &app, &listen, true);
        self.spawn(&name, "runner", &path)
    }

    pub fn start_minion(&self, n: usize, life: usize) -> Process {
        let ip = self.ip(100, n);
        let id = format!("i-{n:02}{life:02}");
        let own = std::env::current_exe().expect("own path");
        let child = Command::new(own)
            .arg("minion")
            .args([&id, SERVICE])
            .args([
                self.address(ip, APP).to_string(),
                self.address(ip, CONTROL).to_string(),
            ])
            .args([ZONES[n % 3], self.kinds[n], "64000"])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn();
        let mut child =
            child.unwrap_or_else(|error| unable(&format!("a minion can't be started: {error}")));
        STARTED.lock().unwrap().push(child.id());
        let output = child.stdout.take().expect("piped");
        let (events, record) = (Arc::clone(&self.events), self.record.clone());
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let mut words = line.splitn(6, ' ');
                let mut word = || words.next().unwrap_or_default().to_owned();
                let (at, minion, kind, task, run, rest) =
                    (word(), word(), word(), word(), word(), word());
                let at_ms = at.parse().unwrap_or(0);
                record.note_at(
                    at_ms,
                    format!("minion {minion}: {kind} {task} {run} {rest}"),
                );
                let run = run.parse().unwrap_or(0);
                events.lock().unwrap().push(Event {
                    at_ms,
                    minion,
                    kind,
                    task,
                    run,
                    rest,
                });
            }
        });
        Process { name: id, child }
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }

    pub fn starts_of(&self, job: &str) -> Vec<Event> {
        let events = self.events();
        events
            .into_iter()
            .filter(|event| event.kind == "start" && event.task.starts_with(job))
            .collect()
    }

    pub fn ends_of(&self, job: &str) -> Vec<Event> {
        let events = self.events();
        events
            .into_iter()
            .filter(|event| event.kind == "end" && event.task.starts_with(job))
            .collect()
    }

    /// A call of a client at a gateway.
    pub fn client(
        &self,
        gateway: usize,
        method: &str,
        path: &str,
        body: &str,
        deadline_ms: u64,
    ) -> Answer {
        let sent_ms = unix_ms();
        let headers = [("X-Deadline-Ms", deadline_ms.to_string())];
        let limit = Duration::from_millis(deadline_ms);
        let answer = http::call(
            self.frontend(gateway),
            method,
            path,
            HOST,
            &headers,
            body,
            limit,
        );
        self.record.note_at(
            sent_ms,
            format!("client -> frontend-{gateway}: {method} {path} {body:.200}"),
        );
        match &answer {
            Ok((status, body, _)) => {
                self.record.note(format!(
                    "client <- frontend-{gateway}: {method} {path}: {status} {body}"
                ));
            }
            Err(error) => {
                self.record.note(format!(
                    "client <- frontend-{gateway}: {method} {path}: no answer ({error})"
                ));
            }
        }
        answer
    }

    /// Sends a configuration as the operator does, until it is acknowledged.
    pub fn configure(&self, document: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let mut n = 0;
        while Instant::now() < until {
            let mut address = self.control(n % self.coordinators.len());
            for _ in 0..3 {
                let host = address.to_string();
                let path = "/hemlockridge/config";
                match http::call(
                    address,
                    "PUT",
                    path,
                    &host,
                    &[],
                    document,
                    Duration::from_secs(1),
                ) {
                    Ok((200, _, _)) => {
                        self.record.note("operator <- 200 for the configuration");
                        return true;
                    }
                    Ok((307, _, Some(location))) => {
                        let authority = location
                            .trim_start_matches("http://")
                            .split('/')
                            .next()
                            .unwrap_or_default();
                        match authority.parse() {
                            Ok(next) => address = next,
                            Err(_) => break,
                        }
                    }
                    _ => break,
                }
            }
            n += 1;
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Puts a configuration in force and waits until jobs are served by every minion.
    pub fn make_ready(&self, document: &str) {
        if !self.configure(document, Duration::from_secs(20)) {
            unable("the configuration isn't acknowledged");
        }
        let until = Instant::now() + Duration::from_secs(20);
        let mut id = 0x0ee0_0000_0000_0000_u64;
        loop {
            let probe = job("work=30", true, &[phase(40, 6_000, 30, "")]);
            let mut served = true;
            for gateway in 0..self.gateways.len() {
                id += 1;
                let path = format!("/lohu930/{id:015x}f");
                served &= matches!(
                    self.client(gateway, "POST", &path, &probe, 1_500),
                    Ok((200, _, _))
                );
                id += 1;
                let path = format!("/lohu930/{id:015x}f");
                let kept = job("work=30", false, &[phase(1, 6_000, 30, "")]);
                served &= matches!(
                    self.client(gateway, "POST", &path, &kept, 1_500),
                    Ok((200, _, _))
                );
            }
            let events = self.events();
            let mut used: Vec<&str> = events
                .iter()
                .filter(|e| e.kind == "start")
                .map(|e| e.minion.as_str())
                .collect();
            used.sort_unstable();
            used.dedup();
            if served && used.len() == self.minions.len() {
                break;
            }
            if Instant::now() > until {
                unable("the deployment doesn't serve jobs");
            }
            thread::sleep(Duration::from_millis(300));
        }
        // The deployment is calm before the case begins.
        thread::sleep(Duration::from_secs(4));
        self.record.note("-- ready --");
    }

    /// Ends all processes, writes the record and exits. `KEEP_LOGS` keeps the logs of the processes.
    pub fn finish(mut self, verdict: Verdict) -> ! {
        self.record.note(format!("verdict: {verdict:?}"));
        let all = [
            &mut self.gateways,
            &mut self.runners,
            &mut self.minions,
            &mut self.coordinators,
        ];
        for process in all.into_iter().flatten() {
            process.signal("CONT");
            process.kill();
        }
        thread::sleep(Duration::from_millis(100));
        self.record.write();
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => eprintln!("logs: {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
        println!("{verdict:?}");
        std::process::exit(match verdict {
            Verdict::Broken(_) => 1,
            Verdict::Held(_) => 0,
            Verdict::NotRun(_) => 2,
        });
    }
}

/// What a run has shown. The text goes into the record.
#[derive(Clone, Debug)]
#[allow(dead_code)]
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

/// Processes that this program has started and not waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn end_started() {
    for pid in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("kill")
            .args(["-KILL", &pid.to_string()])
            .stderr(Stdio::null())
            .status();
    }
}

/// Ends a case that can't run, and all processes that it has started.
pub fn unable(reason: &str) -> ! {
    eprintln!("the case couldn't run: {reason}");
    end_started();
    std::process::exit(2);
}

/// Ends the case if it takes longer than a script may.
pub fn watch_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        unable("it takes too long");
    });
}

pub fn phase(count: u32, cpu: u32, estimate_ms: u64, more: &str) -> String {
    format!("{{\"count\":{count},\"cpu\":{cpu},\"memMb\":64,\"estimateMs\":{estimate_ms}{more}}}")
}

pub fn job(spec: &str, best_effort: bool, phases: &[String]) -> String {
    let kind = if best_effort {
        "\"bestEffort\":true,"
    } else {
        ""
    };
    format!(
        "{{\"spec\":\"{spec}\",{kind}\"phases\":[{}]}}",
        phases.join(",")
    )
}

pub fn configuration(version: u64, max_attempts: u32) -> String {
    let routes: Vec<String> = [("r-3hwrr6x", "/lohu930/", 0), ("r-9n73hh2", "/pule252/", 1)]
        .iter()
        .map(|(name, prefix, priority)| {
            format!("{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\"kind\":\"mutating\",\"timeoutMs\":60000,\"targetLatencyMs\":60,\"priority\":{priority},\"service\":\"{SERVICE}\",\"maxAttempts\":{max_attempts},\"slackFactor\":1.6}}")
        })
        .collect();
    format!("{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"rejectsOverload\":false,\"standby\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}", routes.join(","))
}
