//! Typed errors of jobs and configurations.

use quick_error::quick_error;

quick_error! {
    /// Why a job can't be accepted as it is described.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum SpecFault {
        /// The payload is longer than allowed.
        PayloadTooLong(bytes: usize) {
            display("the payload has {bytes} bytes; {} are allowed", crate::spec::MAX_PAYLOAD_BYTES)
        }
        /// There are no steps, or too many.
        StepCount(count: usize) {
            display("the job has {count} steps; 1 to {} are allowed", crate::spec::MAX_STEPS)
        }
        /// There are too many tasks.
        TaskCount(count: usize) {
            display("the job has {count} tasks; {} are allowed", crate::spec::MAX_TASKS)
        }
        /// A step has no tasks.
        EmptyStep(step: usize) {
            display("step {step} has no tasks")
        }
        /// A step depends on itself, a later step or a missing one.
        Dependency(step: usize) {
            display("step {step} depends on a step that is not an earlier one")
        }
        /// A feature that is not offered.
        Unsupported(feature: &'static str) {
            display("{feature} is not supported")
        }
        /// The description can't be read.
        Unreadable(reason: String) {
            display("the job can't be read: {reason}")
        }
    }
}

quick_error! {
    /// Why a configuration is refused.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ConfigurationFault {
        /// It can't be read in full.
        Unreadable(reason: String) {
            display("the configuration can't be read: {reason}")
        }
        /// A queue names a service that the configuration doesn't hold.
        UnknownService(queue: String, service: String) {
            display("queue {queue} names the unknown service {service}")
        }
        /// Two queues stand at the same place.
        SamePlace(host: String, prefix: String) {
            display("two queues stand at host {host} and path {prefix}")
        }
        /// A queue's timeout is zero.
        ZeroTimeout(queue: String) {
            display("the timeout of queue {queue} is zero")
        }
        /// Two queues or services have the same name.
        SameName(name: String) {
            display("the name {name} stands twice")
        }
    }
}

quick_error! {
    /// Why the record of jobs can't be read or written.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum BookError {
        /// The bytes are no such record.
        Encoding(source: postcard::Error) {
            display("the record of jobs has an unexpected form: {source}")
            from()
        }
    }
}
