//! A small deployment: the project's roles as separate processes on loopback addresses, each
//! machine with an address of its own, and a stand-in minion beside each runner.

use std::cell::RefCell;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};

use crate::client::{Answer, Call, HOST, send};
use crate::minion::{Events, Kind, Minion};
use crate::record::Record;

pub(crate) const ZONES: [&str; 3] = ["muscat-a", "muscat-b", "muscat-c"];
pub(crate) const SERVICE: &str = "allocate";
/// Prefix of the first route, which has the highest priority.
pub(crate) const FIRST: &str = "/lohu930/";
/// Prefix of the second route.
pub(crate) const SECOND: &str = "/pufi791/";
const CORES: u8 = 5;
const FRONTENDS: u8 = 3;

struct Ports {
    internal: u16,
    control: u16,
    frontend: u16,
    readiness: u16,
    app: u16,
}

pub(crate) struct Deployment {
    pub(crate) record: Rc<Record>,
    pub(crate) minions: Vec<Rc<Minion>>,
    pub(crate) events: Events,
    folder: PathBuf,
    subnet: (u8, u8),
    ports: Ports,
    /// The processes with the names of their machines.
    children: RefCell<Vec<(String, Child)>>,
}

/// Ports that are free now and differ from each other.
fn free_ports() -> std::io::Result<[u16; 5]> {
    let listen = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    // All stay open until the last one is chosen.
    let listeners = [listen()?, listen()?, listen()?, listen()?, listen()?];
    let mut ports = [0; 5];
    for (port, listener) in ports.iter_mut().zip(&listeners) {
        *port = listener.local_addr()?.port();
    }
    Ok(ports)
}

/// The repository's root, three folders above this program's build folder, or as told.
fn root() -> PathBuf {
    std::env::var_os("REVIEW_ROOT").map_or_else(|| PathBuf::from("."), PathBuf::from)
}

impl Deployment {
    /// Starts all machines. `kinds` tells of the minions.
    pub(crate) fn start(
        record: &Rc<Record>,
        folder: &Path,
        kinds: Vec<Kind>,
    ) -> std::io::Result<Self> {
        let own = std::process::id();
        let [internal, control, frontend, readiness, app] = free_ports()?;
        let mut deployment = Self {
            record: Rc::clone(record),
            minions: Vec::new(),
            events: Events::default(),
            folder: folder.to_owned(),
            subnet: (16 + (own % 200) as u8, (own / 200 % 250) as u8),
            ports: Ports {
                internal,
                control,
                frontend,
                readiness,
                app,
            },
            children: RefCell::default(),
        };
        for index in 0..CORES {
            deployment.spawn("coordinator", index)?;
        }
        for index in 0..FRONTENDS {
            deployment.spawn("gateway", index)?;
        }
        for (index, kind) in kinds.into_iter().enumerate() {
            let host = 100 + u8::try_from(index).unwrap_or(0);
            let minion = Minion::new(
                index,
                deployment.address(host, deployment.ports.app),
                deployment.address(host, deployment.ports.control),
                kind,
                Rc::clone(record),
                Rc::clone(&deployment.events),
            );
            minion.start()?;
            deployment.minions.push(minion);
            deployment.spawn("runner", u8::try_from(index).unwrap_or(0))?;
        }
        Ok(deployment)
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.subnet.0, self.subnet.1, host);
        SocketAddr::new(IpAddr::V4(ip), port)
    }

    pub(crate) fn frontend(&self, index: u8) -> SocketAddr {
        self.address(50 + index, self.ports.frontend)
    }

    pub(crate) fn control(&self, index: u8) -> SocketAddr {
        self.address(10 + index, self.ports.control)
    }

    fn settings(&self, role: &str, index: u8, host: u8) -> String {
        let ports = &self.ports;
        let zone = ZONES[usize::from(index) % ZONES.len()];
        let (class, listen, more) = match role {
            "coordinator" => (
                "core",
                format!("control = \"{}\"", self.address(host, ports.control)),
                format!("dataDir = {:?}", self.folder.join(format!("data-{index}"))),
            ),
            "runner" => (
                "side",
                format!("control = \"{}\"", self.address(host, ports.control)),
                format!("app = \"{}\"", self.address(host, ports.app)),
            ),
            _ => (
                "frontend",
                format!(
                    "frontend = \"{}\"\nreadiness = \"{}\"",
                    self.address(host, ports.frontend),
                    self.address(host, ports.readiness)
                ),
                String::new(),
            ),
        };
        let seeds: Vec<String> = (0..3)
            .map(|seed| format!("\"{}\"", self.control(seed)))
            .collect();
        format!(
            "nodeName = \"{class}-{zone}-{index}\"\nrole = \"{role}\"\nmachineClass = \"{class}\"\n\
             ip = \"{}\"\nzone = \"{zone}\"\nregion = \"muscat\"\ninternalPorts = [{},{}]\n\
             seeds = [{}]\nbootstrap = true\ncountsAsLoss = {}\ndiscovery = \"local\"\n\
             entry = \"vip\"\nheartbeatMs = 1500\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"advice\",\
             \"upkeep\",\"sharing\"]\nconfig_mode = \"highest\"\ncontrolMode = \"invoke\"\n{more}\n\
             [zones]\nmuscat-a = \"muscat\"\nmuscat-b = \"muscat\"\nmuscat-c = \"muscat\"\n\
             [listen]\n{listen}\n\
             [faultTolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
             [bounds]\nseedLagS = 3\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\n\
             graceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\nrecoveryS = 12\n\
             holdMaxMs = 1000\nstopTimeoutMs = 50\ngangTimeoutMs = 3000\ncancel_ms = 3000\n\
             visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\n\
             remoteFactor = 1.5\ncheckpointS = 2\nrestoreMs = 100\nretransmitMs = 1300\n",
            self.address(host, 0).ip(),
            ports.internal,
            ports.internal,
            seeds.join(","),
            class == "core",
        )
    }

    fn spawn(&self, role: &str, index: u8) -> std::io::Result<()> {
        let host = index
            + match role {
                "coordinator" => 10,
                "gateway" => 50,
                _ => 100,
            };
        let name = format!("{role}-{index}");
        let settings = self.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, self.settings(role, index, host))?;
        if role == "coordinator" {
            std::fs::create_dir_all(self.folder.join(format!("data-{index}")))?;
        }
        let log = File::create(self.folder.join(format!("{name}.log")))?;
        let child = Command::new("target/release/hemlock-platform")
            .current_dir(root())
            .arg(role)
            .env("HEMLOCKRIDGE_NODE_FILE", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let mut ids = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join("processes"))?;
        writeln!(ids, "{}", child.id())?;
        self.children.borrow_mut().push((name, child));
        Ok(())
    }

    /// Puts a configuration in force, and waits until all minions are known
    /// and every frontend serves a job of the first route.
    pub(crate) async fn prepare(&self) -> bool {
        let route = |name: &str, prefix: &str, priority: u32| {
            json!({
                "name": name, "host": HOST, "pathPrefix": prefix, "kind": "mutating",
                "timeoutMs": 1_500, "targetLatencyMs": 60, "priority": priority,
                "service": SERVICE, "maxAttempts": 2, "slackFactor": 1.6,
            })
        };
        let document = json!({
            "version": 7,
            "routes": [route("r-3hwrr6x", FIRST, 0), route("r-73d3zji", SECOND, 2)],
            "services": [{"name": SERVICE, "healthPath": "/healthz", "maxConns": 64,
                          "protocol": "h1", "tls": false, "rejectsOverload": false,
                          "standby": false}],
            "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 262_144,
                       "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
        });
        for attempt in 0..100u16 {
            let core = self.control((attempt % u16::from(CORES)) as u8);
            if self.configure(core, &document).await.is_success() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        for attempt in 0..40u64 {
            let mut served = 0;
            for index in 0..FRONTENDS {
                let path = format!("{FIRST}f{attempt:014x}{index:x}");
                let job = job(
                    "work=0:20",
                    true,
                    &[json!({"count": 1, "cpu": 1000, "memMb": 64,
                                                          "estimateMs": 20})],
                );
                let answer = self.submit(index, &path, &job, 1_500).await;
                served += u8::from(answer.is_success());
            }
            let confirmed = self.minions.iter().all(|minion| minion.is_confirmed());
            if served == FRONTENDS && confirmed {
                // The runners' sessions with the leader begin within this time as well.
                tokio::time::sleep(Duration::from_millis(2_000)).await;
                return true;
            }
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
        false
    }

    async fn configure(&self, core: SocketAddr, document: &Value) -> Answer {
        let mut address = core;
        for _ in 0..3 {
            let call = Call {
                who: "operator",
                method: "PUT",
                address,
                path: "/hemlockridge/config",
                body: Some(document),
                wait_ms: 1_000,
                break_after_ms: None,
            };
            let answer = send(&self.record, call).await;
            let next = answer.location.as_deref().filter(|_| answer.status == 307);
            let next = next.and_then(|location| {
                let rest = location.strip_prefix("http://")?;
                rest.split('/').next()?.parse().ok()
            });
            match next {
                Some(next) => address = next,
                None => return answer,
            }
        }
        Answer::default()
    }

    async fn call(
        &self,
        method: &str,
        frontend: u8,
        path: &str,
        body: Option<&Value>,
        wait_ms: u64,
    ) -> Answer {
        let call = Call {
            who: "client",
            method,
            address: self.frontend(frontend),
            path,
            body,
            wait_ms,
            break_after_ms: None,
        };
        send(&self.record, call).await
    }

    /// Submits a job at a frontend. `path` is the route's prefix and the job's id.
    pub(crate) async fn submit(
        &self,
        frontend: u8,
        path: &str,
        job: &Value,
        wait_ms: u64,
    ) -> Answer {
        self.call("POST", frontend, path, Some(job), wait_ms).await
    }

    /// Sends a signal to a machine's process.
    pub(crate) fn signal(&self, role: &str, index: u8, signal: &str) -> bool {
        let name = format!("{role}-{index}");
        let children = self.children.borrow();
        let Some((_, child)) = children.iter().find(|(other, _)| *other == name) else {
            return false;
        };
        self.record.note(format!("{name} gets SIG{signal}"));
        let command = format!("kill -{signal} {}", child.id());
        let status = Command::new("sh").arg("-c").arg(command).status();
        status.is_ok_and(|status| status.success())
    }

    /// Submits jobs from a task of its own.
    pub(crate) fn submitter(&self) -> Submitter {
        Submitter {
            record: Rc::clone(&self.record),
            frontends: (0..FRONTENDS).map(|index| self.frontend(index)).collect(),
        }
    }

    /// The minion that runs a task of the job, if one does.
    pub(crate) fn minion_with(&self, id: &str) -> Option<Rc<Minion>> {
        let runs = |minion: &&Rc<Minion>| minion.running().iter().any(|task| task.starts_with(id));
        self.minions.iter().find(runs).cloned()
    }

    /// Ids of the processes that have ended by themselves.
    pub(crate) fn ended(&self) -> usize {
        let mut children = self.children.borrow_mut();
        let ended = |(_, child): &mut (String, Child)| matches!(child.try_wait(), Ok(Some(_)));
        children
            .iter_mut()
            .map(ended)
            .filter(|ended| *ended)
            .count()
    }
}

/// A client that waits for its answer while the case goes on.
pub(crate) struct Submitter {
    record: Rc<Record>,
    frontends: Vec<SocketAddr>,
}

impl Submitter {
    /// Submits a job over a connection that breaks before there is an answer.
    pub(crate) async fn submit_and_break(
        &self,
        address: SocketAddr,
        path: &str,
        job: &Value,
        wait_ms: u64,
        break_after_ms: u64,
    ) -> Answer {
        let call = Call {
            who: "client",
            method: "POST",
            address,
            path,
            body: Some(job),
            wait_ms,
            break_after_ms: Some(break_after_ms),
        };
        send(&self.record, call).await
    }

    pub(crate) async fn submit(
        &self,
        frontend: u8,
        path: &str,
        job: &Value,
        wait_ms: u64,
    ) -> Answer {
        let call = Call {
            who: "client",
            method: "POST",
            address: self.frontends[usize::from(frontend)],
            path,
            body: Some(job),
            wait_ms,
            break_after_ms: None,
        };
        send(&self.record, call).await
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for (_, child) in self.children.borrow_mut().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A job's body.
pub(crate) fn job(spec: &str, best_effort: bool, phases: &[Value]) -> Value {
    match best_effort {
        true => json!({"spec": spec, "bestEffort": true, "phases": phases}),
        false => json!({"spec": spec, "phases": phases}),
    }
}

/// Minions of `sablah-hub` as its sheet and site file tell: about 64 cores, two kinds.
pub(crate) fn usual_kinds(count: usize) -> Vec<Kind> {
    let kind = |index: usize| Kind {
        service: SERVICE,
        zone: ZONES[index % ZONES.len()],
        labels: vec!["a".to_owned(), format!("r{}-1", index / 3)],
        cpu: 64_000,
        mem_mb: 262_144,
    };
    (0..count).map(kind).collect()
}
