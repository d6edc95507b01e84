//! Random kept jobs under random faults, to look for broken rules. Not a case by itself.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use super::{POSTING, Run, SEARCH, SERVICE, SMALL, VISIT, with_routes};
use crate::Verdict;
use crate::deployment::{CPU, Deployment, Role, configuration, job, route};
use crate::minion::RunEvent;

const TIMEOUT: Duration = Duration::from_millis(1_500);
/// A second service, whose minions have odd numbers.
pub const OTHER: &str = "loovutus-vana";
const FINISH: Duration = Duration::from_secs(16);

pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 >> 11
    }

    pub fn below(&mut self, most: u64) -> u64 {
        self.next() % most.max(1)
    }
}

#[derive(Clone, Debug, Default)]
struct JobSeen {
    attempts: u64,
    rejected: u64,
    accepted_ms: Option<u64>,
    cancel_sent_ms: Option<u64>,
    canceled_ms: Option<u64>,
    /// First time that each state was shown.
    shown: BTreeMap<String, u64>,
    gone_ms: Option<u64>,
    /// Counts, CPU and dependencies of the steps.
    steps: Vec<(u64, u64, Vec<u64>)>,
    most_failures: u64,
    /// Most tasks of a step on one minion; zero for no limit.
    spread: u64,
    best_effort: bool,
    prefix: String,
    first_sent_ms: u64,
    final_state: String,
}

type Jobs = Arc<Mutex<BTreeMap<String, JobSeen>>>;

fn submit(deployment: &Deployment, rng: &mut Rng, jobs: &Jobs, number: u64, calm: bool) {
    let id = format!("{:08x}{number:07x}a", rng.next() as u32);
    let (prefix, attempts) = [(SEARCH, 4), (POSTING, 2), (VISIT, 2)][rng.below(3) as usize];
    let work = [40, 100, 300, 900, 2_500][rng.below(5) as usize];
    let count = 1 + rng.below(8);
    let mut steps = vec![(count, 3_000 + rng.below(6_000), vec![])];
    for further in 1..=rng.below(3) {
        steps.push((1 + rng.below(4), 3_000, vec![further - 1]));
    }
    let spread = if rng.below(5) == 0 {
        1 + rng.below(2)
    } else {
        0
    };
    let best_effort = work <= 300 && rng.below(3) == 0;
    let phases: Vec<Value> = steps
        .iter()
        .map(|(count, cpu, depends)| {
            json!({"count": count, "cpu": cpu, "memMb": 256, "estimateMs": work, "dependsOn": depends,
                   "antiAffinity": spread})
        })
        .collect();
    let fails = if rng.below(6) == 0 { 3 } else { 0 };
    let body = job(&format!("work={work};fails={fails}"), best_effort, &phases);
    let path = format!("{prefix}{id}");
    let entry = JobSeen {
        steps,
        most_failures: attempts,
        spread,
        best_effort,
        prefix: prefix.to_owned(),
        first_sent_ms: deployment.record.now_ms(),
        ..JobSeen::default()
    };
    jobs.lock().unwrap().insert(id.clone(), entry);
    let update = |change: &dyn Fn(&mut JobSeen)| change(jobs.lock().unwrap().get_mut(&id).unwrap());
    let record = &deployment.record;
    let mut accepted = false;
    for _ in 0..5 {
        // The rest of the loop is the same for a best-effort job, whose answer is its end.
        update(&|job| job.attempts += 1);
        let gateway = rng.below(deployment.size.gateways as u64) as usize;
        let reply = deployment.client(
            gateway,
            "POST",
            &path,
            "X-Deadline-Ms: 1500\r\n",
            &body,
            TIMEOUT,
        );
        match reply.map(|reply| reply.status) {
            Some(200) => {
                let now = record.now_ms();
                if !best_effort {
                    update(&|job| {
                        job.accepted_ms.get_or_insert(now);
                    });
                }
                accepted = true;
                break;
            }
            Some(429 | 503 | 404) => {
                update(&|job| job.rejected += 1);
                break;
            }
            _ => thread::sleep(Duration::from_millis(1_300)),
        }
    }
    if !accepted || best_effort {
        return;
    }
    // Sometimes the request arrives again.
    let again = rng.below(8) == 0;
    let cancel_at = (rng.below(7) == 0).then(|| rng.below(1_500));
    let mut waited = 0;
    for turn in 0..60 {
        let pause = 300 + rng.below(900);
        if let Some(at) = cancel_at.filter(|at| waited <= *at && *at < waited + pause) {
            thread::sleep(Duration::from_millis(at - waited));
            let now = record.now_ms();
            update(&|job| {
                job.cancel_sent_ms.get_or_insert(now);
            });
            for _ in 0..6 {
                let gateway = rng.below(deployment.size.gateways as u64) as usize;
                let reply = deployment.client(gateway, "DELETE", &path, "", "", TIMEOUT);
                if reply.is_some_and(|reply| reply.status == 200 || reply.status == 410) {
                    let now = record.now_ms();
                    update(&|job| job.canceled_ms = Some(now));
                    break;
                }
                thread::sleep(Duration::from_millis(300));
            }
        }
        thread::sleep(Duration::from_millis(pause));
        waited += pause;
        let gateway = rng.below(deployment.size.gateways as u64) as usize;
        if again && turn == 2 {
            deployment.client(gateway, "POST", &path, "", &body, TIMEOUT);
        }
        let sent = record.now_ms();
        let reply = deployment.client(gateway, "GET", &path, "", "", TIMEOUT);
        match reply {
            Some(reply) if reply.status == 200 => {
                let state = reply.body["state"].as_str().unwrap_or_default().to_owned();
                update(&|job| {
                    job.shown.entry(state.clone()).or_insert(sent);
                    job.final_state.clone_from(&state);
                });
                let ended = matches!(state.as_str(), "complete" | "failed" | "canceled");
                if ended && (turn > 6 || calm) {
                    return;
                }
            }
            Some(reply) if reply.status == 410 => update(&|job| {
                job.gone_ms.get_or_insert(sent);
            }),
            _ => {}
        }
    }
}

fn pick_fault(rng: &mut Rng) -> (&'static str, u64) {
    const FAULTS: [&str; 22] = [
        "kill coordinator",
        "freeze coordinator",
        "stop coordinator",
        "kill leader",
        "wipe coordinator",
        "wipe leader",
        "freeze leader",
        "stop leader",
        "kill runner",
        "freeze runner",
        "stop runner",
        "kill gateway",
        "freeze gateway",
        "late",
        "crash",
        "alike",
        "leave",
        "leave",
        "both",
        "herd",
        "mute",
        "reset",
    ];
    let only = std::env::var("ONLY").unwrap_or_default();
    let only: Vec<&str> = only.split(',').filter(|name| !name.is_empty()).collect();
    let faults: Vec<&str> = match only.is_empty() {
        true => FAULTS.to_vec(),
        false => FAULTS
            .iter()
            .copied()
            .filter(|fault| only.contains(fault))
            .collect(),
    };
    let at = rng.below(faults.len() as u64) as usize;
    let name = FAULTS.iter().copied().find(|fault| *fault == faults[at]);
    (name.unwrap_or("late"), rng.next())
}

fn disturb(
    deployment: &Deployment,
    rng: &mut Rng,
    busy: &Mutex<Vec<(Role, usize)>>,
    allow_crash: bool,
) {
    let (fault, number) = pick_fault(rng);
    let pause = |rng: &mut Rng, most: u64| thread::sleep(Duration::from_millis(rng.below(most)));
    if fault == "herd" {
        {
            let mut busy = busy.lock().unwrap();
            if busy.iter().any(|(role, _)| *role == Role::Coordinator) {
                return;
            }
            busy.extend((0..deployment.size.coordinators).map(|i| (Role::Coordinator, i)));
        }
        deployment.record.note("FAULT herd");
        for index in 0..deployment.size.coordinators {
            deployment.signal(Role::Coordinator, index, "KILL");
        }
        for index in 0..deployment.size.coordinators {
            deployment.join(Role::Coordinator, index, Duration::from_secs(1));
        }
        pause(rng, 900);
        for index in 0..deployment.size.coordinators {
            deployment.spawn(Role::Coordinator, index, false);
        }
        thread::sleep(Duration::from_secs(7));
        busy.lock()
            .unwrap()
            .retain(|(role, _)| *role != Role::Coordinator);
        return;
    }
    let mut words = fault.split(' ');
    let how = words.next().unwrap_or_default();
    let what = words.next().unwrap_or_default();
    let size = deployment.size;
    let target = match what {
        "coordinator" => Some((Role::Coordinator, number as usize % size.coordinators)),
        "leader" => deployment.leader().map(|index| (Role::Coordinator, index)),
        "runner" => Some((Role::Runner, number as usize % size.runners)),
        "gateway" => Some((Role::Gateway, number as usize % size.gateways)),
        _ => Some((Role::Runner, number as usize % size.runners)),
    };
    let Some((role, index)) = target else { return };
    {
        let mut busy = busy.lock().unwrap();
        let limit = match role {
            Role::Coordinator => 2,
            Role::Gateway => 1,
            Role::Runner => 3,
        };
        let same = busy.iter().filter(|(other, _)| *other == role).count();
        if same >= limit || busy.contains(&(role, index)) {
            return;
        }
        busy.push((role, index));
    }
    deployment.record.note(format!("FAULT {fault} {index}"));
    match how {
        "wipe" => {
            deployment.signal(role, index, "KILL");
            deployment.join(role, index, Duration::from_secs(1));
            deployment.wipe(index);
            pause(rng, 1_500);
            deployment.spawn(role, index, false);
        }
        "kill" => {
            deployment.signal(role, index, "KILL");
            deployment.join(role, index, Duration::from_secs(1));
            pause(rng, 1_500);
            deployment.spawn(role, index, false);
            thread::sleep(Duration::from_secs(2));
        }
        "stop" => {
            deployment.signal(role, index, "TERM");
            deployment.join(role, index, Duration::from_secs(6));
            pause(rng, 800);
            deployment.spawn(role, index, false);
            thread::sleep(Duration::from_secs(2));
        }
        "freeze" => {
            deployment.signal(role, index, "STOP");
            pause(rng, 5_000);
            deployment.signal(role, index, "CONT");
            thread::sleep(Duration::from_secs(2));
        }
        "late" => {
            let span = 1_000 + rng.below(4_000);
            deployment.minions[index].execute_late_for(Duration::from_millis(span));
            thread::sleep(Duration::from_millis(span));
        }
        "mute" | "reset" => {
            let span = Duration::from_millis(rng.below(6_500));
            match how {
                "mute" => deployment.minions[index].mute_for(span),
                _ => deployment.minions[index].reset_for(span),
            }
            thread::sleep(span);
        }
        "alike" => {
            deployment.minions[index].crash();
            pause(rng, 600);
            deployment.minions[index].start_alike();
            thread::sleep(Duration::from_secs(2));
        }
        "leave" => {
            deployment.minions[index].leave(Duration::from_millis(2_000 + rng.below(4_000)));
            pause(rng, 2_000);
            deployment.minions[index].start();
            thread::sleep(Duration::from_secs(2));
        }
        "both" => {
            deployment.minions[index].crash();
            deployment.signal(role, index, "KILL");
            deployment.join(role, index, Duration::from_secs(1));
            pause(rng, 1_500);
            deployment.spawn(role, index, false);
            deployment.minions[index].start();
            thread::sleep(Duration::from_secs(2));
        }
        _ if allow_crash => {
            deployment.minions[index].crash();
            pause(rng, 4_000);
            deployment.minions[index].start();
            thread::sleep(Duration::from_secs(2));
        }
        _ => {}
    }
    if role == Role::Coordinator {
        // A machine counts as lost until `catchUpS` after it is back.
        thread::sleep(Duration::from_millis(4_500));
    }
    busy.lock().unwrap().retain(|other| *other != (role, index));
}

impl Run<'_> {
    pub fn soak(&self) -> Verdict {
        let deployment = match self.deploy(SMALL) {
            Ok(deployment) => Arc::new(deployment),
            Err(verdict) => return verdict,
        };
        let seconds: u64 = std::env::var("SECONDS_LONG")
            .ok()
            .and_then(|t| t.parse().ok())
            .unwrap_or(60);
        let allow_crash = std::env::var_os("NO_CRASH").is_none();
        let jobs: Jobs = Arc::default();
        let over = Arc::new(AtomicBool::new(false));
        let faults_over = Arc::new(AtomicBool::new(false));
        let busy = Arc::new(Mutex::new(Vec::new()));
        let mut threads = Vec::new();
        if self.trouble {
            let streams = std::env::var("STREAMS")
                .ok()
                .and_then(|t| t.parse().ok())
                .unwrap_or(3);
            for stream in 0..streams {
                let (deployment, over, busy) = (
                    Arc::clone(&deployment),
                    Arc::clone(&faults_over),
                    Arc::clone(&busy),
                );
                let mut rng = Rng::new(self.seed * 31 + stream);
                threads.push(thread::spawn(move || {
                    while !over.load(Ordering::Relaxed) {
                        thread::sleep(Duration::from_millis(rng.below(2_500)));
                        disturb(&deployment, &mut rng, &busy, allow_crash);
                    }
                }));
            }
        }
        let mut rng = Rng::new(self.seed);
        let mut number = 0;
        let mut version = 1;
        let mut acknowledged = 1;
        let mut versions: Vec<(u64, Option<u64>, &str)> = vec![(0, Some(0), SERVICE)];
        let bulk = std::env::var("BULK")
            .ok()
            .and_then(|t| t.parse().ok())
            .unwrap_or(0);
        let every = if bulk > 0 { 8 } else { 40 };
        let begun = std::time::Instant::now();
        while begun.elapsed().as_secs() < seconds {
            number += 1;
            let (deployment_of, jobs_of) = (Arc::clone(&deployment), Arc::clone(&jobs));
            let mut own = Rng::new(self.seed * 1_000_003 + number);
            threads.push(thread::spawn(move || {
                submit(&deployment_of, &mut own, &jobs_of, number, false)
            }));
            if number % every == 0 {
                version += 1;
                let flips = std::env::var_os("FLIP").is_some();
                let service = if flips && version % 2 == 0 {
                    OTHER
                } else {
                    SERVICE
                };
                let document = match flips {
                    true => flipped(version, service),
                    false => with_routes(version, bulk),
                };
                let sent_ms = self.record.now_ms();
                let index = rng.below(5) as usize;
                let reply = deployment.operator(index, "PUT", &document);
                if reply.as_ref().is_some_and(|reply| reply.status == 200) {
                    acknowledged = version;
                    versions.push((sent_ms, Some(self.record.now_ms()), service));
                } else {
                    versions.push((sent_ms, None, service));
                }
                deployment.record.note(format!(
                    "operator PUT {version} at {index}: {:?}",
                    reply.map(|r| r.status)
                ));
            }
            thread::sleep(Duration::from_millis(rng.below(160)));
        }
        faults_over.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_secs(8));
        thread::sleep(FINISH);
        over.store(true, Ordering::Relaxed);
        let ids: Vec<String> = jobs.lock().unwrap().keys().cloned().collect();
        let mut findings = Vec::new();
        for prefix_and_id in &ids {
            let accepted = jobs.lock().unwrap()[prefix_and_id].accepted_ms.is_some();
            if !accepted {
                continue;
            }
            let mut state = String::new();
            for prefix in [SEARCH, POSTING, VISIT] {
                let reply = deployment.client(
                    0,
                    "GET",
                    &format!("{prefix}{prefix_and_id}"),
                    "",
                    "",
                    TIMEOUT,
                );
                match reply {
                    Some(reply) if reply.status == 200 => {
                        state = reply.body["state"].as_str().unwrap_or_default().to_owned()
                    }
                    Some(reply) => state = format!("status {}", reply.status),
                    None => state = "no answer".to_owned(),
                }
                break;
            }
            if !matches!(state.as_str(), "complete" | "failed" | "canceled") {
                findings.push(format!("LOST at the end: {prefix_and_id} is {state:?}"));
            }
            jobs.lock()
                .unwrap()
                .get_mut(prefix_and_id)
                .unwrap()
                .final_state = state;
        }
        for index in 0..deployment.size.coordinators {
            let read = deployment.operator(index, "GET", "");
            let read = read.and_then(|reply| reply.body["version"].as_u64());
            if read.is_some_and(|read| read < acknowledged) {
                findings.push(format!(
                    "CONFIG: {read:?} is read, {acknowledged} acknowledged"
                ));
            }
        }
        let ended = deployment.ended_by_themselves();
        if !ended.is_empty() {
            findings.push(format!("processes that ended by themselves: {ended:?}"));
        }
        let events: Vec<RunEvent> = deployment.minions.iter().flat_map(|m| m.events()).collect();
        judge(&jobs.lock().unwrap(), &events, &mut findings);
        check_capacity(&jobs.lock().unwrap(), &events, &mut findings);
        check_service(&jobs.lock().unwrap(), &events, &versions, &mut findings);
        check_spread(&jobs.lock().unwrap(), &events, &mut findings);
        let accepted = jobs
            .lock()
            .unwrap()
            .values()
            .filter(|j| j.accepted_ms.is_some())
            .count();
        self.record.note(format!(
            "{} jobs, {accepted} accepted, {} runs",
            ids.len(),
            events.len()
        ));
        println!(
            "seed {}: {} jobs, {accepted} accepted, {} runs",
            self.seed,
            ids.len(),
            events.len()
        );
        for finding in &findings {
            self.record.note(format!("FINDING {finding}"));
            println!("  {finding}");
        }
        match findings.first() {
            None => Verdict::Held,
            Some(first) => {
                Verdict::Broken(format!("{} findings, the first: {first}", findings.len()))
            }
        }
    }
}

fn parse(task: &str) -> Option<(String, u64, u64)> {
    let mut parts = task.split('.');
    let id = parts.next()?.to_owned();
    parts.next()?;
    Some((id, parts.next()?.parse().ok()?, parts.next()?.parse().ok()?))
}

fn judge(jobs: &BTreeMap<String, JobSeen>, events: &[RunEvent], findings: &mut Vec<String>) {
    let mut by_task: HashMap<&str, Vec<&RunEvent>> = HashMap::new();
    for event in events {
        by_task.entry(&event.task).or_default().push(event);
    }
    for (task, runs) in &mut by_task {
        runs.sort_by_key(|run| run.started_ms);
        for (at, run) in runs.iter().enumerate() {
            for later in &runs[at + 1..] {
                if run.ended_ms.is_none_or(|end| end > later.started_ms) {
                    findings.push(format!(
                        "TWICE at once: {task} run {} at {} and run {} at {} ({} ms)",
                        run.run, run.minion, later.run, later.minion, later.started_ms
                    ));
                }
                let kept = parse(task)
                    .and_then(|(id, _, _)| Some(!jobs.get(&id)?.best_effort))
                    .unwrap_or(false);
                if kept && run.how == "done" && run.noted_ms.is_some() {
                    findings.push(format!("TWICE after done: {task} run {} at {} ended {:?}, noted {:?}, run {} started {}", run.run, run.minion, run.ended_ms, run.noted_ms, later.run, later.started_ms));
                }
            }
        }
        let Some((id, step, _)) = parse(task) else {
            continue;
        };
        let Some(job) = jobs.get(&id) else { continue };
        if job.rejected > 0 && job.rejected == job.attempts {
            findings.push(format!("REFUSED: {task} ran, its job was rejected"));
        }
        for run in runs.iter() {
            if let Some(acked) = run
                .drain_acked_ms
                .filter(|acked| run.started_ms > acked + 2_000)
            {
                findings.push(format!(
                    "DRAIN?: {task} starts at {} at {}, acknowledged {acked}",
                    run.started_ms, run.minion
                ));
            }
        }
        if job.best_effort {
            continue;
        }
        let failed: Vec<&&RunEvent> = runs
            .iter()
            .filter(|run| run.how == "failed" && run.noted_ms.is_some())
            .collect();
        if failed.len() as u64 >= job.most_failures {
            let last = failed[job.most_failures as usize - 1]
                .ended_ms
                .unwrap_or(u64::MAX);
            if runs.iter().any(|run| run.started_ms > last) {
                findings.push(format!(
                    "BUDGET: {task} is started after {} failed runs",
                    failed.len()
                ));
            }
        }
        if let Some(canceled) = job.canceled_ms {
            for run in runs.iter() {
                if run.started_ms > canceled + 3_000 {
                    findings.push(format!(
                        "UNASKED: {task} run {} starts {} ms after the cancel",
                        run.run,
                        run.started_ms - canceled
                    ));
                }
                if run.ended_ms.is_none_or(|end| end > canceled + 3_300) {
                    findings.push(format!(
                        "UNASKED?: {task} run {} ends {:?}, cancel {canceled}",
                        run.run, run.ended_ms
                    ));
                }
            }
        }
        for earlier in job
            .steps
            .get(step as usize)
            .map(|s| s.2.clone())
            .unwrap_or_default()
        {
            let count = job.steps[earlier as usize].0;
            let first = runs[0].started_ms;
            let done = (0..count).all(|index| {
                let name = format!("{id}.0.{earlier}.{index}");
                events.iter().any(|e| {
                    e.task == name && e.how == "done" && e.ended_ms.is_some_and(|end| end <= first)
                })
            });
            if !done {
                findings.push(format!(
                    "ORDER: {task} starts at {first} before step {earlier} is done"
                ));
            }
        }
    }
    for (id, job) in jobs {
        if let Some(at) = job.shown.get("complete") {
            for (step, (count, _, _)) in job.steps.iter().enumerate() {
                for index in 0..*count {
                    let name = format!("{id}.0.{step}.{index}");
                    let done = by_task
                        .get(name.as_str())
                        .is_some_and(|runs| runs.iter().any(|run| run.how == "done"));
                    if !done {
                        findings.push(format!(
                            "MIXED: {id} is shown as complete at {at}, {name} isn't done"
                        ));
                    }
                }
            }
        }
        if let (Some(at), Some(accepted)) = (job.gone_ms, job.accepted_ms) {
            findings.push(format!(
                "LOST: 410 for {id} at {at}, accepted {accepted}, cancelled {:?}",
                job.canceled_ms
            ));
        }
        if job.final_state == "failed" {
            let most = by_task
                .iter()
                .filter(|(task, _)| task.starts_with(id.as_str()))
                .map(|(_, runs)| runs.iter().filter(|run| run.how == "failed").count() as u64)
                .max()
                .unwrap_or(0);
            if most < job.most_failures {
                findings.push(format!(
                    "LOST: {id} is shown as failed, its tasks failed at most {most} times of {}",
                    job.most_failures
                ));
            }
        }
        if job.final_state == "canceled" && job.cancel_sent_ms.is_none() {
            findings.push(format!(
                "LOST: {id} is shown as canceled, nobody cancelled it"
            ));
        }
    }
}

/// The configuration in which one queue is served by `service`.
fn flipped(version: u64, service: &str) -> String {
    let routes = [
        route("pereotsing", SEARCH, SERVICE, 0, 4),
        route("uus-kuulutus", POSTING, SERVICE, 1, 2),
        route("kohtumine", VISIT, service, 2, 2),
    ];
    configuration(version, &routes, &[SERVICE, OTHER])
}

/// Looks for runs at a service that only an older configuration than the one in force names.
fn check_service(
    jobs: &BTreeMap<String, JobSeen>,
    events: &[RunEvent],
    versions: &[(u64, Option<u64>, &str)],
    findings: &mut Vec<String>,
) {
    for event in events {
        let Some((id, _, _)) = parse(&event.task) else {
            continue;
        };
        let Some(job) = jobs.get(&id).filter(|job| job.prefix == VISIT) else {
            continue;
        };
        let in_force = versions
            .iter()
            .rposition(|(_, acked, _)| acked.is_some_and(|at| at + 2_000 < job.first_sent_ms))
            .unwrap_or(0);
        let number: usize = event
            .minion
            .split('-')
            .nth(1)
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        let service = if number % 2 == 1 && std::env::var_os("FLIP").is_some() {
            OTHER
        } else {
            SERVICE
        };
        let allowed = versions[in_force..]
            .iter()
            .any(|(sent, _, of)| *of == service && *sent <= event.started_ms);
        if !allowed {
            findings.push(format!(
                "CONFIG?: {} at {} at {}, sent {}",
                event.task, event.minion, event.started_ms, job.first_sent_ms
            ));
        }
    }
}

/// Looks for more tasks of one step at a minion than the step allows.
fn check_spread(jobs: &BTreeMap<String, JobSeen>, events: &[RunEvent], findings: &mut Vec<String>) {
    for event in events {
        let Some((id, step, _)) = parse(&event.task) else {
            continue;
        };
        let Some(most) = jobs.get(&id).map(|job| job.spread).filter(|most| *most > 0) else {
            continue;
        };
        let prefix = format!("{id}.0.{step}.");
        let beside = events.iter().filter(|other| {
            other.minion == event.minion
                && other.task.starts_with(&prefix)
                && other.started_ms <= event.started_ms
                && other.ended_ms.is_none_or(|end| end > event.started_ms)
        });
        let count = beside.count() as u64;
        if count > most {
            findings.push(format!(
                "ROUTE: {count} of {prefix} at {} at {}, {most} allowed",
                event.minion, event.started_ms
            ));
        }
    }
}

fn check_capacity(
    jobs: &BTreeMap<String, JobSeen>,
    events: &[RunEvent],
    findings: &mut Vec<String>,
) {
    let mut changes: BTreeMap<&str, Vec<(u64, i64)>> = BTreeMap::new();
    for event in events {
        let Some((id, step, _)) = parse(&event.task) else {
            continue;
        };
        let Some((_, cpu, _)) = jobs.get(&id).and_then(|job| job.steps.get(step as usize)) else {
            continue;
        };
        let of_minion = changes.entry(event.minion.as_str()).or_default();
        of_minion.push((event.started_ms, *cpu as i64));
        of_minion.push((event.ended_ms.unwrap_or(u64::MAX), -(*cpu as i64)));
    }
    for (minion, mut changes) in changes {
        changes.sort_unstable();
        let mut used = 0;
        for (at, change) in changes {
            used += change;
            if used > CPU as i64 {
                findings.push(format!("LIMIT: {minion} runs {used} at {at}"));
                break;
            }
        }
    }
}
