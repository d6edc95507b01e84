//! Typed failures of the bench itself.

use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// The bench could not run a scenario.
    #[derive(Debug)]
    #[allow(unreachable_pub)]
    pub enum BenchError {
        /// The command line is wrong.
        Usage(source: lexopt::Error) {
            display("{source}; see hemlock-bench --help")
            source(source)
            from()
        }
        /// No such scenario.
        UnknownScenario(name: String) {
            display("there is no scenario `{name}`; see hemlock-bench --help")
        }
        /// A program that the scenario needs is missing.
        MissingProgram(path: PathBuf) {
            display("{} is missing; build the workspace first: cargo build --release --workspace", path.display())
        }
        /// A file or process operation failed.
        Io(source: std::io::Error) {
            display("{source}")
            source(source)
            from()
        }
        /// A call to a program under test failed.
        Call(source: attohttpc::Error) {
            display("{source}")
            source(source)
            from()
        }
        /// A program under test refused a call of the bench.
        Refused(what: &'static str, status: u16, body: String) {
            display("{what} was refused with status {status}: {body}")
        }
        /// The cluster did not become ready.
        NotReady(what: &'static str) {
            display("the cluster did not become ready: {what}")
        }
        /// A stand-in endpoint could not start.
        Standin(source: hemlock_standin::StandinError) {
            display("{source}")
            source(source)
            from()
        }
        /// A report could not be made.
        Report(source: hemlock_bench::report::ReportError) {
            display("{source}")
            source(source)
            from()
        }
        /// Figures could not be written.
        Json(source: serde_json::Error) {
            display("{source}")
            source(source)
            from()
        }
    }
}
