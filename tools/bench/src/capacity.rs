//! What each role costs at the target size, worked out from recorded slopes.

use std::fmt::Write;

use serde_json::Value;

/// Where the capacity page's figures begin.
pub const BEGIN: &str = "<!-- figures: begin -->";
/// Where they end.
pub const END: &str = "<!-- figures: end -->";

/// Endpoint instances, one agent each.
const ENDPOINTS: f64 = 1_900.0;
/// Entries.
const ENTRIES: f64 = 16.0;
/// Task starts per second at the peak.
const STARTS_PER_S: f64 = 150_000.0;
/// Tasks of a job on average; a job has up to 240.
const TASKS_PER_JOB: f64 = 20.0;
/// Budget of one node's control traffic, in bytes per second.
const BUDGET_BYTES_PER_S: f64 = 6_000.0;
/// Budget of one node's control work, in percent of a core.
const BUDGET_CPU_PERCENT: f64 = 3.6;
/// Budget of one node's control memory, in megabytes.
const BUDGET_MEMORY_MB: f64 = 64.0;

/// What one process of a role uses.
#[derive(Clone, Copy)]
struct RoleCost {
    bytes_per_s: f64,
    cpu_percent: f64,
    resident_mb: f64,
}

/// A measured quantity of a role, read as intercept and slope.
struct Line<'a>(&'a Value);

impl Line<'_> {
    fn slope(&self) -> f64 {
        self.0["slope"].as_f64().unwrap_or(0.0)
    }

    fn intercept(&self) -> f64 {
        self.0["intercept"].as_f64().unwrap_or(0.0)
    }

    fn at(&self, size: f64) -> f64 {
        self.intercept() + self.slope() * size
    }
}

/// The figures of the capacity page, as Markdown, from what `hemlock-bench slopes` printed.
pub fn render_figures(slopes: &Value) -> String {
    let mut page = String::new();
    render_slopes(&mut page, slopes);
    render_points(&mut page, slopes);
    render_target(&mut page, slopes);
    page
}

fn render_slopes(page: &mut String, slopes: &Value) {
    line(
        page,
        "| group | role | quantity | at zero | for each one more | fit r² |",
    );
    line(page, "|---|---|---|---|---|---|");
    for (group, unit) in [("endpoints", "endpoint"), ("entries", "entry")] {
        for role in ["leader", "follower", "entry", "agent"] {
            for quantity in ["bytes_per_s", "cpu_percent", "resident_mb"] {
                let measured = &slopes[group][role][quantity];
                if is_absent(measured) {
                    continue;
                }
                let fit = Line(measured);
                let r_squared = measured["r_squared"].as_f64().unwrap_or(0.0);
                let row = format!(
                    "| by {unit} | {role} | {quantity} | {:.3} | {:.5} | {r_squared:.3} |",
                    fit.intercept(),
                    fit.slope(),
                );
                line(page, &row);
            }
        }
    }
    line(page, "");
}

/// Whether the group had no process of the role: every point is zero.
fn is_absent(measured: &Value) -> bool {
    let points = measured["points"].as_array();
    points.is_none_or(|points| points.iter().all(|point| point[1].as_f64() == Some(0.0)))
}

fn render_points(page: &mut String, slopes: &Value) {
    line(
        page,
        "| claims in flight | claims/s | leader µs a claim | follower µs a claim | leader bytes a claim |",
    );
    line(page, "|---|---|---|---|---|");
    for point in points(&slopes["claims"]) {
        let row = format!(
            "| {} | {:.0} | {:.1} | {:.1} | {:.0} |",
            number(point, "in_flight"),
            number(point, "claims_per_s"),
            number(point, "leader_cpu_us_per_claim"),
            number(point, "follower_cpu_us_per_claim"),
            number(point, "leader_bytes_per_claim"),
        );
        line(page, &row);
    }
    line(page, "");
    line(
        page,
        "| endpoints | jobs complete | starts/s of one entry | entry µs a start | entry bytes a start |",
    );
    line(page, "|---|---|---|---|---|");
    for point in points(&slopes["starts"]) {
        let row = format!(
            "| {} | {} of {} | {:.0} | {:.1} | {:.0} |",
            number(point, "endpoints"),
            number(point, "jobs_complete"),
            number(point, "jobs"),
            number(point, "starts_per_s"),
            number(point, "entry_cpu_us_per_start"),
            number(point, "entry_bytes_per_start"),
        );
        line(page, &row);
    }
    line(page, "");
}

fn render_target(page: &mut String, slopes: &Value) {
    line(
        page,
        "| one process at the target | bytes/s | % of a core | MB | within a node's budget |",
    );
    line(page, "|---|---|---|---|---|");
    let entry_load = entry_with_starts(slopes);
    let rows = [
        ("agent", agent(slopes)),
        ("entry, no work", steady(slopes, "entry")),
        ("entry, its share of the peak", entry_load),
        ("follower, no claims", steady(slopes, "follower")),
        ("leader, no claims", steady(slopes, "leader")),
        ("leader, claims of the peak", leader_with_claims(slopes)),
    ];
    for (name, cost) in rows {
        let row = format!(
            "| {name} | {:.0} | {:.2} | {:.1} | {} |",
            cost.bytes_per_s,
            cost.cpu_percent,
            cost.resident_mb,
            verdict(cost),
        );
        line(page, &row);
    }
}

/// Cost of a role by endpoints and entries together, without work.
fn steady(slopes: &Value, role: &str) -> RoleCost {
    let of = |quantity: &str| {
        let by_endpoints = Line(&slopes["endpoints"][role][quantity]).at(ENDPOINTS);
        let by_entries = Line(&slopes["entries"][role][quantity]).slope() * (ENTRIES - 1.0);
        (by_endpoints + by_entries).max(0.0)
    };
    RoleCost {
        bytes_per_s: of("bytes_per_s"),
        cpu_percent: of("cpu_percent"),
        resident_mb: of("resident_mb"),
    }
}

fn agent(slopes: &Value) -> RoleCost {
    let of = |quantity: &str| {
        Line(&slopes["entries"]["agent"][quantity])
            .at(ENTRIES)
            .max(0.0)
    };
    RoleCost {
        bytes_per_s: of("bytes_per_s"),
        cpu_percent: of("cpu_percent"),
        resident_mb: of("resident_mb"),
    }
}

fn entry_with_starts(slopes: &Value) -> RoleCost {
    let idle = steady(slopes, "entry");
    let starts_per_s = STARTS_PER_S / ENTRIES;
    let Some(point) = points(&slopes["starts"])
        .iter()
        .rfind(|point| is_whole(point))
    else {
        return idle;
    };
    RoleCost {
        bytes_per_s: idle.bytes_per_s + starts_per_s * number(point, "entry_bytes_per_start"),
        cpu_percent: idle.cpu_percent
            + starts_per_s * number(point, "entry_cpu_us_per_start") / 1e4,
        resident_mb: idle.resident_mb,
    }
}

/// Whether every job of a measurement was complete.
fn is_whole(point: &Value) -> bool {
    point["jobs_complete"] == point["jobs"]
}

fn leader_with_claims(slopes: &Value) -> RoleCost {
    let idle = steady(slopes, "leader");
    let claims_per_s = STARTS_PER_S / TASKS_PER_JOB;
    let Some(point) = points(&slopes["claims"]).get(1) else {
        return idle;
    };
    RoleCost {
        bytes_per_s: idle.bytes_per_s + claims_per_s * number(point, "leader_bytes_per_claim"),
        cpu_percent: idle.cpu_percent
            + claims_per_s * number(point, "leader_cpu_us_per_claim") / 1e4,
        resident_mb: idle.resident_mb,
    }
}

fn verdict(cost: RoleCost) -> String {
    let over = [
        ("bytes", cost.bytes_per_s / BUDGET_BYTES_PER_S),
        ("core", cost.cpu_percent / BUDGET_CPU_PERCENT),
        ("memory", cost.resident_mb / BUDGET_MEMORY_MB),
    ];
    let broken: Vec<String> = over
        .iter()
        .filter(|(_, share)| *share > 1.0)
        .map(|(name, share)| format!("{name} {share:.1} times the budget"))
        .collect();
    match broken.is_empty() {
        true => "yes".to_owned(),
        false => format!("no: {}", broken.join(", ")),
    }
}

fn points(group: &Value) -> &[Value] {
    group["points"].as_array().map_or(&[], Vec::as_slice)
}

fn number(point: &Value, field: &str) -> f64 {
    point[field].as_f64().unwrap_or(0.0)
}

fn line(page: &mut String, text: &str) {
    writeln!(page, "{text}").expect("writing to a string never fails");
}
