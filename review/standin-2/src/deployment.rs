//! The processes of a small deployment on loopback addresses, with their settings files.

use std::fs::{File, OpenOptions};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Reply};
use crate::minion::Minion;
use crate::record::Record;

pub const HOST: &str = "nony24.example";
const ZONES: [&str; 4] = ["harju-1", "harju-2", "emajogi", "parnu-laht"];
/// Capacity of a minion, in thousandths of a core.
pub const CPU: u64 = 64_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Coordinator,
    Gateway,
    Runner,
}

impl Role {
    fn name(self) -> &'static str {
        match self {
            Self::Coordinator => "coordinator",
            Self::Gateway => "gateway",
            Self::Runner => "runner",
        }
    }

    fn first_host(self) -> usize {
        match self {
            Self::Coordinator => 10,
            Self::Gateway => 30,
            Self::Runner => 60,
        }
    }
}

#[derive(Clone, Copy)]
pub struct Size {
    pub coordinators: usize,
    pub gateways: usize,
    pub runners: usize,
}

struct Ports {
    internal: u16,
    control: u16,
    caller: u16,
    readiness: u16,
    app: u16,
}

pub struct Deployment {
    pub size: Size,
    pub record: Arc<Record>,
    pub minions: Vec<Arc<Minion>>,
    folder: PathBuf,
    program: PathBuf,
    subnet: (u8, u8),
    ports: Ports,
    processes: Processes,
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has ports");
    listener.local_addr().expect("it is bound").port()
}

fn zone(index: usize) -> &'static str {
    ZONES[index % ZONES.len()]
}

/// A route, as an operator configures it.
pub fn route(name: &str, prefix: &str, service: &str, priority: u32, attempts: u32) -> Value {
    json!({
        "name": name, "host": HOST, "pathPrefix": prefix, "kind": "mutating", "timeoutMs": 1_500,
        "targetLatencyMs": 60, "priority": priority, "service": service,
        "maxAttempts": attempts, "slackFactor": 1.6,
    })
}

pub fn configuration(version: u64, routes: &[Value], services: &[&str]) -> String {
    let services: Vec<Value> = services
        .iter()
        .map(|name| {
            json!({
                "name": name, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1",
                "tls": false, "rejectsOverload": false, "standby": false,
            })
        })
        .collect();
    json!({
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 262_144,
                   "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
    })
    .to_string()
}

impl Deployment {
    /// Starts all processes and minions. `service_of` names the service of each minion.
    pub fn start(
        program: &Path,
        folder: &Path,
        size: Size,
        record: Arc<Record>,
        service_of: impl Fn(usize) -> String,
    ) -> Self {
        let own = std::process::id() as usize;
        let mut deployment = Self {
            size,
            record: Arc::clone(&record),
            minions: Vec::new(),
            folder: folder.to_owned(),
            program: program.to_owned(),
            subnet: (1 + (own % 250) as u8, (own / 250 % 250) as u8),
            ports: Ports {
                internal: free_port(),
                control: free_port(),
                caller: free_port(),
                readiness: free_port(),
                app: free_port(),
            },
            processes: Arc::default(),
        };
        STARTED
            .lock()
            .unwrap()
            .push(Arc::clone(&deployment.processes));
        for index in 0..size.runners {
            let minion = Minion::new(
                index,
                deployment.address(Role::Runner, index, deployment.ports.app),
                deployment.address(Role::Runner, index, deployment.ports.control),
                &service_of(index),
                zone(index),
                CPU,
                &format!("r1-{}", index / 3),
                Arc::clone(&record),
            );
            minion.start();
            deployment.minions.push(minion);
        }
        for (role, count) in [
            (Role::Coordinator, size.coordinators),
            (Role::Runner, size.runners),
            (Role::Gateway, size.gateways),
        ] {
            for index in 0..count {
                deployment.spawn(role, index, true);
            }
        }
        deployment
    }

    fn ip(&self, role: Role, index: usize) -> IpAddr {
        let host = (role.first_host() + index) as u8;
        IpAddr::V4(Ipv4Addr::new(127, self.subnet.0, self.subnet.1, host))
    }

    fn address(&self, role: Role, index: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(role, index), port)
    }

    pub fn gateway(&self, index: usize) -> SocketAddr {
        self.address(Role::Gateway, index, self.ports.caller)
    }

    pub fn runner_control(&self, index: usize) -> SocketAddr {
        self.address(Role::Runner, index, self.ports.control)
    }

    pub fn control(&self, index: usize) -> SocketAddr {
        self.address(Role::Coordinator, index, self.ports.control)
    }

    /// The settings file of a machine, as the deploy page shows it.
    fn settings(&self, role: Role, index: usize, bootstrap: bool) -> String {
        let address = |port| self.address(role, index, port).to_string();
        let seeds: Vec<String> = (0..self.size.coordinators.min(3))
            .map(|seed| format!("{:?}", self.control(seed).to_string()))
            .collect();
        let ports = &self.ports;
        let (class, serves, listen, more) = match role {
            Role::Coordinator => (
                "core",
                "control_plane",
                format!("control = {:?}", address(ports.control)),
                format!(
                    "dataDir = {:?}\n",
                    self.folder.join(format!("data-{index}"))
                ),
            ),
            Role::Runner => (
                "side",
                "side",
                format!("control = {:?}", address(ports.control)),
                format!("app = {:?}\n", address(ports.app)),
            ),
            Role::Gateway => (
                "frontend",
                "frontend",
                format!(
                    "frontend = {:?}\nreadiness = {:?}",
                    address(ports.caller),
                    address(ports.readiness)
                ),
                String::new(),
            ),
        };
        let zones: String = ZONES
            .iter()
            .map(|zone| format!("{zone} = \"ee-kesk\"\n"))
            .collect();
        let tolerated = (self.size.coordinators - 1) / 2;
        format!(
            "nodeName = \"{class}-{index}\"\nrole = \"{}\"\nmachineClass = \"{class}\"\n\
             serves = [\"{serves}\"]\nip = \"{}\"\nzone = \"{}\"\nregion = \"ee-kesk\"\n\
             internalPorts = [{},{}]\nseeds = [{}]\nbootstrap = {bootstrap}\n\
             countsAsLoss = {}\ndiscovery = \"local\"\nentry = \"vip\"\nheartbeatMs = 1500\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\"]\n\
             config_mode = \"highest\"\ncontrolMode = \"invoke\"\n{more}\
             [zones]\n{zones}[listen]\n{listen}\n\
             [limits]\ncpuShare = 0.5\ncores = 1\nmemoryMb = 256\nmaxFds = 4096\n\
             [faultTolerance]\nmachines = {tolerated}\nzones = 0\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\n\
             catchUpS = 4\ndrainMs = 2000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\n\
             rollbackSlackMs = 250\nmaxSkewMs = 5000\nrecoveryS = 12\nholdMaxMs = 1000\n\
             stopTimeoutMs = 50\ngangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n\
             early_ms = 250\nfinish_s = 14\nstatus_s = 120\nremoteFactor = 1.5\n\
             checkpointS = 1\nrestoreMs = 100\nnoticeMs = 4500\nleaseMs = 3000\n\
             thawSlackMs = 300\nretransmitMs = 1300\n",
            role.name(),
            self.ip(role, index),
            zone(index),
            ports.internal,
            ports.internal,
            seeds.join(","),
            role == Role::Coordinator,
        )
    }

    /// Starts a machine's process, with the command of the deploy file.
    pub fn spawn(&self, role: Role, index: usize, bootstrap: bool) {
        let name = format!("{}-{index}", role.name());
        let settings = self.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, self.settings(role, index, bootstrap)).expect("a settings file");
        let open = || -> File {
            let path = self.folder.join(format!("{name}.log"));
            OpenOptions::new()
                .create(true)
                .append(true)
                .open(path)
                .expect("a log file")
        };
        let child = Command::new(&self.program)
            .arg(role.name())
            .env("HEMLOCKRIDGE_NODE_FILE", settings)
            .stdin(Stdio::null())
            .stdout(open())
            .stderr(open())
            .spawn();
        let child = child.expect("the program is built");
        self.record
            .note(format!("{name} is started as process {}", child.id()));
        self.processes.lock().unwrap().push((role, index, child));
    }

    /// Sends a signal to a machine's process, by its id.
    pub fn signal(&self, role: Role, index: usize, signal: &str) {
        let processes = self.processes.lock().unwrap();
        let process = processes.iter().find(|(r, i, _)| *r == role && *i == index);
        if let Some((_, _, child)) = process {
            self.record
                .note(format!("{}-{index} gets SIG{signal}", role.name()));
            let _ = Command::new("kill")
                .arg(format!("-{signal}"))
                .arg(child.id().to_string())
                .status();
        }
    }

    /// Waits until a machine's process has ended, and kills it after `grace`.
    pub fn join(&self, role: Role, index: usize, grace: Duration) {
        let mut child = {
            let mut processes = self.processes.lock().unwrap();
            let Some(at) = processes
                .iter()
                .position(|(r, i, _)| *r == role && *i == index)
            else {
                return;
            };
            processes.swap_remove(at).2
        };
        let until = Instant::now() + grace;
        while child.try_wait().is_ok_and(|status| status.is_none()) {
            if Instant::now() > until {
                let _ = child.kill();
            }
            thread::sleep(Duration::from_millis(2));
        }
        self.record
            .note(format!("{}-{index} has ended", role.name()));
    }

    /// Empties the disk of a coordinator whose process has ended.
    pub fn wipe(&self, index: usize) {
        self.record
            .note(format!("the disk of coordinator-{index} is lost"));
        let _ = std::fs::remove_dir_all(self.folder.join(format!("data-{index}")));
    }

    /// The processes that have ended by themselves.
    pub fn ended_by_themselves(&self) -> Vec<String> {
        let mut processes = self.processes.lock().unwrap();
        let ended = processes.iter_mut().filter_map(|(role, index, child)| {
            let status = child.try_wait().ok()??;
            Some(format!("{}-{index}: {status}", role.name()))
        });
        ended.collect()
    }

    /// The index of the coordinator that leads, as its redirects tell.
    pub fn leader(&self) -> Option<usize> {
        (0..self.size.coordinators).find(|index| {
            let reply = self.operator(*index, "GET", "");
            reply.is_some_and(|reply| reply.status == 200)
        })
    }

    pub fn operator(&self, index: usize, method: &str, body: &str) -> Option<Reply> {
        let path = "/hemlockridge/config";
        http::call(
            self.control(index),
            method,
            path,
            "operator",
            "",
            body,
            Duration::from_secs(1),
        )
    }

    /// Sends a configuration to the coordinators in turn until it is acknowledged.
    pub fn configure(&self, document: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            for index in 0..self.size.coordinators {
                let reply = self.operator(index, "PUT", document);
                if reply.is_some_and(|reply| reply.status == 200) {
                    self.record.note("the configuration is acknowledged");
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Waits until every gateway runs best-effort jobs.
    pub fn await_service(&self, prefix: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        let mut probe = 0_u64;
        for index in 0..self.size.gateways {
            loop {
                probe += 1;
                let body = job("work=10", true, &[step(1, 1_000, 10)]);
                let path = format!("{prefix}ffff{probe:011x}a");
                let reply = http::call(
                    self.gateway(index),
                    "POST",
                    &path,
                    HOST,
                    "",
                    &body,
                    Duration::from_secs(2),
                );
                if reply.is_some_and(|reply| reply.status == 200) {
                    break;
                }
                if Instant::now() > until {
                    return false;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.note("all gateways serve");
        true
    }

    /// Makes a client's request.
    pub fn client(
        &self,
        gateway: usize,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
        timeout: Duration,
    ) -> Option<Reply> {
        let reply = http::call(
            self.gateway(gateway),
            method,
            path,
            HOST,
            headers,
            body,
            timeout,
        );
        let answer = reply.as_ref().map_or("no answer".to_owned(), |reply| {
            format!("{} {}", reply.status, reply.body)
        });
        self.record.note(format!(
            "client {method} {path} at gateway-{gateway}: {answer}"
        ));
        reply
    }
}

/// Processes of one deployment.
type Processes = Arc<Mutex<Vec<(Role, usize, Child)>>>;

/// The processes of all deployments of this play. Threads of clients may hold a deployment until
/// the play ends, so that it isn't dropped before.
static STARTED: Mutex<Vec<Processes>> = Mutex::new(Vec::new());

/// Ends all processes that were started and are still there.
pub fn end_all() {
    for processes in STARTED.lock().unwrap().iter() {
        for (_, _, child) in processes.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for (_, _, child) in self.processes.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A step of a job, without requirements.
pub fn step(count: u64, cpu: u64, estimate_ms: u64) -> Value {
    json!({"count": count, "cpu": cpu, "memMb": 256, "estimateMs": estimate_ms})
}

pub fn job(spec: &str, best_effort: bool, phases: &[Value]) -> String {
    match best_effort {
        true => json!({"spec": spec, "phases": phases, "bestEffort": true}).to_string(),
        false => json!({"spec": spec, "phases": phases}).to_string(),
    }
}
