//! Processor time and memory of a process, read from `/proc`.

/// Clock ticks per second of the times in `/proc`.
const TICKS_PER_S: f64 = 100.0;
/// Bytes of one memory page.
const PAGE_BYTES: u64 = 4_096;

/// Resource use of a process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Processor time, user and system, in microseconds.
    pub(crate) cpu_us: f64,
    /// Resident memory in bytes.
    pub(crate) resident_bytes: u64,
}

impl Usage {
    /// Returns the resource use of a process since its start, or zeros if it has ended.
    pub(crate) fn of(process: u32) -> Self {
        let read = |file: &str| std::fs::read_to_string(format!("/proc/{process}/{file}"));
        let stat = read("stat").unwrap_or_default();
        let memory = read("statm").unwrap_or_default();
        Self {
            cpu_us: cpu_us(&stat).unwrap_or(0.0),
            resident_bytes: resident(&memory).unwrap_or(0),
        }
    }
}

fn cpu_us(stat: &str) -> Option<f64> {
    let after_name = stat.rsplit_once(')')?.1;
    let mut fields = after_name.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) * 1e6 / TICKS_PER_S)
}

fn resident(memory: &str) -> Option<u64> {
    let pages: u64 = memory.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
