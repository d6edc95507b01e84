//! The configuration: queues and services, applied as one versioned document.

use std::collections::HashSet;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::error::ConfigurationFault;

/// Where callers hand in jobs, and how these run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The path that callers' paths begin with.
    pub path_prefix: String,
    /// The service whose instances run the tasks.
    pub service: String,
    /// How long a caller's request may take, in milliseconds.
    pub timeout_ms: u64,
    /// Latency beyond the work itself at which a job still counts as prompt, in milliseconds.
    pub target_latency_ms: u64,
    /// Urgency: zero comes first.
    pub priority: u32,
    /// Failed runs after which a task has failed.
    pub max_attempts: u32,
    /// Factor on the longest chain of work that gives the job's latency objective.
    pub slack_factor: f64,
}

/// A pool of instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePool {
    /// Its name.
    pub name: String,
}

/// Queues and services in force, with the operator's own document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its version; the highest is in force.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All services.
    pub services: Vec<ServicePool>,
    /// The document as the operator sent it, which is read back whole.
    pub document: Bytes,
}

/// A queue and what follows its prefix in a caller's path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueMatch<'a> {
    /// The queue.
    pub queue: &'a Queue,
    /// The rest of the path.
    pub rest: &'a str,
}

impl Configuration {
    /// The queue whose host equals `host` and whose prefix is the longest that `path` begins with.
    pub fn find<'a>(&'a self, host: &str, path: &'a str) -> Option<QueueMatch<'a>> {
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter_map(|queue| {
                let rest = path.strip_prefix(queue.path_prefix.as_str())?;
                Some(QueueMatch { queue, rest })
            })
            .max_by_key(|found| found.queue.path_prefix.len())
    }

    /// The queue of that name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// Checks what every configuration must keep.
    ///
    /// # Errors
    ///
    /// The first fault found.
    pub fn check(&self) -> Result<(), ConfigurationFault> {
        let mut services = HashSet::new();
        for service in &self.services {
            if !services.insert(service.name.as_str()) {
                return Err(ConfigurationFault::SameName(service.name.clone()));
            }
        }
        let mut places = HashSet::new();
        let mut names = HashSet::new();
        for queue in &self.queues {
            let place = (queue.host.to_ascii_lowercase(), queue.path_prefix.as_str());
            match queue {
                _ if !services.contains(queue.service.as_str()) => {
                    return Err(ConfigurationFault::UnknownService(
                        queue.name.clone(),
                        queue.service.clone(),
                    ));
                }
                _ if queue.timeout_ms == 0 => {
                    return Err(ConfigurationFault::ZeroTimeout(queue.name.clone()));
                }
                _ if !names.insert(queue.name.as_str()) => {
                    return Err(ConfigurationFault::SameName(queue.name.clone()));
                }
                _ if !places.insert(place) => {
                    return Err(ConfigurationFault::SamePlace(
                        queue.host.clone(),
                        queue.path_prefix.clone(),
                    ));
                }
                _ => {}
            }
        }
        Ok(())
    }
}
