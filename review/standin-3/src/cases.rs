//! The cases. Each plays one sequence of events and checks one rule.

mod frozen_frontend;
mod returning_minion;

use std::path::PathBuf;
use std::rc::Rc;

use crate::Verdict;
use crate::deployment::{Deployment, usual_kinds};
use crate::minion::Kind;
use crate::record::Record;

/// The folder for settings, logs and data, which `run.sh` creates and removes.
fn scratch() -> PathBuf {
    std::env::var_os("REVIEW_SCRATCH").map_or_else(std::env::temp_dir, PathBuf::from)
}

async fn start(record: &Rc<Record>, kinds: Vec<Kind>) -> Option<Deployment> {
    let deployment = Deployment::start(record, &scratch(), kinds);
    let deployment = deployment
        .inspect_err(|error| record.note(format!("the deployment can't start: {error}")))
        .ok()?;
    match deployment.prepare().await {
        true => Some(deployment),
        false => {
            record.note("the deployment doesn't serve jobs".to_owned());
            None
        }
    }
}

/// Plays a case.
pub(crate) async fn play(case: &str, trouble: bool, record: Rc<Record>) -> Verdict {
    let mut kinds = usual_kinds(8);
    if let Some(last) = kinds.last_mut() {
        last.labels[0] = "b".to_owned();
    }
    let Some(deployment) = start(&record, kinds).await else {
        return Verdict::NotRun;
    };
    let verdict = match case {
        "frozen-frontend" => frozen_frontend::play(&deployment, trouble).await,
        "returning-minion" => returning_minion::play(&deployment, trouble).await,
        _ => Verdict::NotRun,
    };
    let ended = deployment.ended();
    record.note(format!("{ended} processes ended by themselves"));
    verdict
}
