//! The cases.

mod abandoned;
mod counted;
mod crashed;
mod fuzz;
mod soak;
mod starved;
mod twice;

use std::path::Path;
use std::sync::Arc;

use crate::Verdict;
use crate::deployment::{Deployment, Size, configuration, route};
use crate::record::Record;

pub const SERVICE: &str = "loovutus-portaal";
/// Prefixes of the three queues of the small deployment, the most urgent first.
pub const SEARCH: &str = "/pereotsing/";
pub const POSTING: &str = "/uus-kuulutus/";
pub const VISIT: &str = "/kohtumine/";

/// The sizes of the small deployment.
pub const SMALL: Size = Size {
    coordinators: 5,
    gateways: 4,
    runners: 11,
};

pub struct Run<'a> {
    pub program: &'a Path,
    pub folder: &'a Path,
    pub record: Arc<Record>,
    pub trouble: bool,
    pub seed: u64,
}

impl Run<'_> {
    pub fn play(&self, case: &str) -> Verdict {
        match case {
            "starved" => self.starved(),
            "abandoned" => self.abandoned(),
            "crashed" => self.crashed(),
            "counted" => self.counted(),
            "twice" => self.twice(),
            "soak" => self.soak(),
            "fuzz" => self.fuzz(),
            other => Verdict::NotRun(format!("no case {other}")),
        }
    }

    /// Starts a deployment that serves, with the three queues.
    pub fn deploy(&self, size: Size) -> Result<Deployment, Verdict> {
        let record = Arc::clone(&self.record);
        let deployment = Deployment::start(self.program, self.folder, size, record, |index| {
            let flips = std::env::var_os("FLIP").is_some();
            let service = if flips && index % 2 == 1 {
                soak::OTHER
            } else {
                SERVICE
            };
            service.to_owned()
        });
        if !deployment.configure(&three_queues(1)) {
            return Err(Verdict::NotRun(
                "the first configuration isn't accepted".to_owned(),
            ));
        }
        if !deployment.await_service(SEARCH) {
            return Err(Verdict::NotRun("the deployment doesn't serve".to_owned()));
        }
        Ok(deployment)
    }
}

pub fn three_queues(version: u64) -> String {
    with_routes(version, 0)
}

/// The three queues and further routes that nobody uses.
pub fn with_routes(version: u64, further: usize) -> String {
    let mut routes = vec![
        route("pereotsing", SEARCH, SERVICE, 0, 4),
        route("uus-kuulutus", POSTING, SERVICE, 1, 2),
        route("kohtumine", VISIT, SERVICE, 2, 2),
    ];
    routes.extend((0..further).map(|at| {
        let name = format!("idle-{version}-{at}");
        route(&name, &format!("/idle{at}/"), SERVICE, 1, 2)
    }));
    configuration(version, &routes, &[SERVICE])
}
