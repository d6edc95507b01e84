//! Errors of job specifications, configurations and the job store.

use quick_error::quick_error;

quick_error! {
    /// An invalid job specification.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum JobSpecError {
        /// The payload is longer than allowed.
        PayloadTooLong(bytes: usize) {
            display("the payload has {bytes} bytes; {} are allowed",
                    crate::spec::MAX_PAYLOAD_BYTES)
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
        /// A step depends on itself, a later step or a nonexistent one.
        Dependency(step: usize) {
            display("step {step} depends on a step that is not an earlier one")
        }
        /// A step's needs or estimated duration are beyond any instance.
        TooLarge(step: usize) {
            display("the needs or the estimated duration of step {step} are too large")
        }
        /// The job asks for a feature that is not supported.
        Unsupported(feature: &'static str) {
            display("{feature} is not supported")
        }
        /// The job can't be parsed.
        Unreadable(reason: String) {
            display("the job can't be read: {reason}")
        }
    }
}

quick_error! {
    /// An invalid configuration.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ConfigurationError {
        /// The configuration can't be parsed.
        Unreadable(reason: String) {
            display("the configuration can't be read: {reason}")
        }
        /// A queue refers to a service that the configuration doesn't define.
        UnknownService(queue: String, service: String) {
            display("queue {queue} names the unknown service {service}")
        }
        /// Two queues have the same host and path prefix.
        DuplicateRoute(host: String, prefix: String) {
            display("two queues stand at host {host} and path {prefix}")
        }
        /// A queue's timeout is zero.
        ZeroTimeout(queue: String) {
            display("the timeout of queue {queue} is zero")
        }
        /// Two queues or services have the same name.
        DuplicateName(name: String) {
            display("the name {name} stands twice")
        }
    }
}

quick_error! {
    /// A job store that can't be encoded or decoded.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum JobStoreError {
        /// The snapshot is invalid, or the state can't be encoded.
        Encoding(source: postcard::Error) {
            display("the job store can't be encoded or decoded: {source}")
            from()
        }
    }
}
