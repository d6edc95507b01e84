//! The configuration: queues and services, applied as one versioned document.

use std::collections::HashSet;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::error::ConfigurationError;

/// A queue to which callers submit jobs, and the rules by which these run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// The host that callers address.
    pub host: String,
    /// The prefix of the paths that callers use.
    pub path_prefix: String,
    /// The service whose instances run the tasks.
    pub service: String,
    /// Timeout of a caller's request, in milliseconds.
    pub timeout_ms: u64,
    /// Part of a job's latency objective beyond the work itself, in milliseconds.
    pub target_latency_ms: u64,
    /// Priority: jobs of a lower value go first.
    pub priority: u32,
    /// Number of failed runs after which a task has failed.
    pub max_attempts: u32,
    /// Multiplier of a job's critical path in its latency objective.
    pub slack_factor: f64,
}

/// A pool of instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePool {
    /// Its name.
    pub name: String,
}

/// A version of the queues and services, with the operator's document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its version; the highest is in force.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All services.
    pub services: Vec<ServicePool>,
    /// The document exactly as the operator sent it, which is returned on request.
    pub document: Bytes,
}

/// The queue that a caller's path selects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueMatch<'a> {
    /// The queue.
    pub queue: &'a Queue,
    /// The part of the path after the queue's prefix.
    pub rest: &'a str,
}

impl Configuration {
    /// Finds the queue of the given host with the longest prefix of `path`. Hosts are compared
    /// case-insensitively.
    pub fn find<'a>(&'a self, host: &str, path: &'a str) -> Option<QueueMatch<'a>> {
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter_map(|queue| {
                let rest = path.strip_prefix(queue.path_prefix.as_str())?;
                Some(QueueMatch { queue, rest })
            })
            .max_by_key(|matched| matched.queue.path_prefix.len())
    }

    /// The queue with the given name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// Checks that names and routes are unique, timeouts positive and services known.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
    pub fn check(&self) -> Result<(), ConfigurationError> {
        let mut services = HashSet::new();
        for service in &self.services {
            if !services.insert(service.name.as_str()) {
                return Err(ConfigurationError::DuplicateName(service.name.clone()));
            }
        }
        let mut routes = HashSet::new();
        let mut names = HashSet::new();
        for queue in &self.queues {
            let route = (queue.host.to_ascii_lowercase(), queue.path_prefix.as_str());
            match queue {
                _ if !services.contains(queue.service.as_str()) => {
                    return Err(ConfigurationError::UnknownService(
                        queue.name.clone(),
                        queue.service.clone(),
                    ));
                }
                _ if queue.timeout_ms == 0 => {
                    return Err(ConfigurationError::ZeroTimeout(queue.name.clone()));
                }
                _ if !names.insert(queue.name.as_str()) => {
                    return Err(ConfigurationError::DuplicateName(queue.name.clone()));
                }
                _ if !routes.insert(route) => {
                    return Err(ConfigurationError::DuplicateRoute(
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
