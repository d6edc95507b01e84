//! Errors of the bench.

use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// Error that keeps the bench from running a scenario.
    #[derive(Debug)]
    #[allow(unreachable_pub)]
    pub enum BenchError {
        /// Invalid command line.
        Usage(source: lexopt::Error) {
            display("{source}; see hemlock-bench --help")
            source(source)
            from()
        }
        /// Unknown name of a scenario.
        UnknownScenario(name: String) {
            display("there is no scenario `{name}`; see hemlock-bench --help")
        }
        /// Program under test that was not built.
        MissingProgram(path: PathBuf) {
            display("{} is missing; build the workspace first: cargo build --release --workspace", path.display())
        }
        /// Failed operation on a file, a socket or a process.
        Io(source: std::io::Error) {
            display("{source}")
            source(source)
            from()
        }
        /// Failed HTTP call to a process under test.
        Call(source: attohttpc::Error) {
            display("{source}")
            source(source)
            from()
        }
        /// HTTP call that a process under test refused.
        Refused(what: &'static str, status: u16, body: String) {
            display("{what} was refused with status {status}: {body}")
        }
        /// Cluster that did not reach an expected state in time.
        NotReady(what: &'static str) {
            display("the cluster is not ready: {what}")
        }
        /// Stand-in endpoint that could not start.
        Standin(source: hemlock_standin::StandinError) {
            display("{source}")
            source(source)
            from()
        }
        /// Report that could not be rendered.
        Report(source: hemlock_bench::report::ReportError) {
            display("{source}")
            source(source)
            from()
        }
        /// JSON that could not be read or written.
        Json(source: serde_json::Error) {
            display("{source}")
            source(source)
            from()
        }
    }
}
