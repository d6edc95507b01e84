//! Configurations, jobs and ids: what is refused, and which queue a path names.

use bytes::Bytes;
use hemlock_jobs::prelude::*;

fn queue(name: &str, host: &str, prefix: &str) -> Queue {
    Queue {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        service: "listings".to_owned(),
        timeout_ms: 1_500,
        max_attempts: 2,
        slack_factor: 1.6,
        ..Queue::default()
    }
}

fn configuration(queues: Vec<Queue>) -> Configuration {
    Configuration {
        version: 1,
        queues,
        services: vec![ServicePool {
            name: "listings".to_owned(),
        }],
        document: Bytes::new(),
    }
}

#[test]
fn the_longest_prefix_of_the_host_names_the_queue() {
    let held = configuration(vec![
        queue("a", "one.example", "/jobs/"),
        queue("b", "one.example", "/jobs/urgent/"),
        queue("c", "two.example", "/jobs/urgent/"),
    ]);
    let found = held
        .find("ONE.example", "/jobs/urgent/77")
        .expect("a queue");
    assert_eq!((found.queue.name.as_str(), found.rest), ("b", "77"));
    let found = held.find("one.example", "/jobs/77").expect("a queue");
    assert_eq!((found.queue.name.as_str(), found.rest), ("a", "77"));
    assert!(held.find("one.example", "/other/77").is_none());
    assert!(held.find("three.example", "/jobs/77").is_none());
}

#[test]
fn invalid_configurations_are_refused() {
    let valid = configuration(vec![queue("a", "h", "/p/")]);
    assert_eq!(valid.check(), Ok(()));
    let mut unknown = queue("a", "h", "/p/");
    unknown.service = "other".to_owned();
    let fault = configuration(vec![unknown]).check();
    assert!(matches!(fault, Err(ConfigurationFault::UnknownService(..))));
    let mut zero = queue("a", "h", "/p/");
    zero.timeout_ms = 0;
    let fault = configuration(vec![zero]).check();
    assert!(matches!(fault, Err(ConfigurationFault::ZeroTimeout(_))));
    let same = configuration(vec![queue("a", "h", "/p/"), queue("b", "H", "/p/")]);
    assert!(matches!(
        same.check(),
        Err(ConfigurationFault::SamePlace(..))
    ));
    let named = configuration(vec![queue("a", "h", "/p/"), queue("a", "h", "/q/")]);
    assert!(matches!(
        named.check(),
        Err(ConfigurationFault::SameName(_))
    ));
}

#[test]
fn jobs_beyond_the_bounds_are_refused() {
    let job = |steps| JobSpec::new(Bytes::new(), steps);
    assert_eq!(job(vec![StepSpec::new(1)]).check(), Ok(()));
    assert_eq!(job(vec![]).check(), Err(SpecFault::StepCount(0)));
    assert_eq!(
        job(vec![StepSpec::new(0)]).check(),
        Err(SpecFault::EmptyStep(0))
    );
    let mut looped = StepSpec::new(1);
    looped.depends_on = vec![0];
    assert_eq!(job(vec![looped]).check(), Err(SpecFault::Dependency(0)));
    let long = JobSpec::new(Bytes::from(vec![b'x'; 4_001]), vec![StepSpec::new(1)]);
    assert_eq!(long.check(), Err(SpecFault::PayloadTooLong(4_001)));
}

#[test]
fn ids_have_one_form_in_text() {
    let id = JobId(0x5c0e_7a21_d94b_36f8);
    assert_eq!(id.to_string(), "5c0e7a21d94b36f8");
    assert_eq!("5c0e7a21d94b36f8".parse(), Ok(id));
    for wrong in [
        "",
        "5c0e7a21d94b36f",
        "5c0e7a21d94b36f88",
        "+c0e7a21d94b36f8",
        "zz0e7a21d94b36f8",
    ] {
        assert!(wrong.parse::<JobId>().is_err(), "{wrong:?} is no id");
    }
    let key: TaskKey = "5c0e7a21d94b36f8.0.1.17".parse().expect("a task's name");
    assert_eq!((key.job, key.step, key.index), (id, 1, 17));
    assert_eq!(key.to_string(), "5c0e7a21d94b36f8.0.1.17");
    assert!("5c0e7a21d94b36f8.0.1".parse::<TaskKey>().is_err());
}
