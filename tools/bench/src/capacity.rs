//! Tables of the capacity page: resource use of each role at the target size, computed from
//! recorded results of the `slopes` scenario.

use std::fmt::Write;

use serde_json::Value;

/// Marker before the figures on the capacity page.
pub const BEGIN: &str = "<!-- figures: begin -->";
/// Marker after the figures on the capacity page.
pub const END: &str = "<!-- figures: end -->";

/// Number of endpoint instances at the target size; each has an agent.
const ENDPOINTS: f64 = 1_900.0;
/// Number of entries at the target size.
const ENTRIES: f64 = 16.0;
/// Task starts per second of the whole cluster at peak load.
const STARTS_PER_S: f64 = 150_000.0;
/// Average number of tasks of a job; the limit is 240.
const TASKS_PER_JOB: f64 = 20.0;
/// Budget of a node for control traffic, in bytes per second.
const BUDGET_BYTES_PER_S: f64 = 6_000.0;
/// Budget of a node for processor time of the control plane, in percent of a core.
const BUDGET_CPU_PERCENT: f64 = 3.6;
/// Budget of a node for memory of the control plane, in megabytes.
const BUDGET_MEMORY_MB: f64 = 64.0;

/// Resource use of one process of a role.
#[derive(Clone, Copy)]
struct RoleCost {
    bytes_per_s: f64,
    cpu_percent: f64,
    resident_mb: f64,
}

/// Linear fit of a measured quantity, as the `slopes` scenario prints it.
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

/// Renders the figures of the capacity page as Markdown, from the output of
/// `hemlock-bench slopes`.
pub fn render_figures(slopes: &Value) -> String {
    let mut page = String::new();
    render_slopes(&mut page, slopes);
    render_points(&mut page, slopes);
    render_target(&mut page, slopes);
    page
}

fn render_slopes(page: &mut String, slopes: &Value) {
    push_line(
        page,
        "| group | role | quantity | at zero | for each one more | fit r² |",
    );
    push_line(page, "|---|---|---|---|---|---|");
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
                push_line(page, &row);
            }
        }
    }
    push_line(page, "");
}

/// Returns true if every point is zero, which means that no process of the role was measured.
fn is_absent(measured: &Value) -> bool {
    let points = measured["points"].as_array();
    points.is_none_or(|points| points.iter().all(|point| point[1].as_f64() == Some(0.0)))
}

fn render_points(page: &mut String, slopes: &Value) {
    push_line(
        page,
        "| claims in flight | claims/s | leader µs a claim | follower µs a claim | leader bytes a claim |",
    );
    push_line(page, "|---|---|---|---|---|");
    for point in points(&slopes["claims"]) {
        let row = format!(
            "| {} | {:.0} | {:.1} | {:.1} | {:.0} |",
            number(point, "in_flight"),
            number(point, "claims_per_s"),
            number(point, "leader_cpu_us_per_claim"),
            number(point, "follower_cpu_us_per_claim"),
            number(point, "leader_bytes_per_claim"),
        );
        push_line(page, &row);
    }
    push_line(page, "");
    push_line(
        page,
        "| endpoints | jobs complete | starts/s of one entry | entry µs a start | entry bytes a start |",
    );
    push_line(page, "|---|---|---|---|---|");
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
        push_line(page, &row);
    }
    push_line(page, "");
}

fn render_target(page: &mut String, slopes: &Value) {
    push_line(
        page,
        "| one process at the target | bytes/s | % of a core | MB | within a node's budget |",
    );
    push_line(page, "|---|---|---|---|---|");
    let entry_load = entry_cost_at_peak(slopes);
    let rows = [
        ("agent", agent_cost(slopes)),
        ("entry, no work", idle_cost(slopes, "entry")),
        ("entry, its share of the peak", entry_load),
        ("follower, no claims", idle_cost(slopes, "follower")),
        ("leader, no claims", idle_cost(slopes, "leader")),
        ("leader, claims of the peak", leader_cost_at_peak(slopes)),
    ];
    for (name, cost) in rows {
        let row = format!(
            "| {name} | {:.0} | {:.2} | {:.1} | {} |",
            cost.bytes_per_s,
            cost.cpu_percent,
            cost.resident_mb,
            budget_result(cost),
        );
        push_line(page, &row);
    }
}

/// Returns the resource use of a role at the target size without any requests.
fn idle_cost(slopes: &Value, role: &str) -> RoleCost {
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

fn agent_cost(slopes: &Value) -> RoleCost {
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

/// Returns the resource use of an entry with its share of the peak load, from the last measurement
/// in which every job was complete.
fn entry_cost_at_peak(slopes: &Value) -> RoleCost {
    let idle = idle_cost(slopes, "entry");
    let starts_per_s = STARTS_PER_S / ENTRIES;
    let Some(point) = points(&slopes["starts"])
        .iter()
        .rfind(|point| all_jobs_complete(point))
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

/// Returns true if every job of a measurement was complete.
fn all_jobs_complete(point: &Value) -> bool {
    point["jobs_complete"] == point["jobs"]
}

/// Returns the resource use of the leading keeper with the claims of the peak load, at the second
/// measured number of claims in flight.
fn leader_cost_at_peak(slopes: &Value) -> RoleCost {
    let idle = idle_cost(slopes, "leader");
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

/// Compares a cost with the budget of a node and names each excess.
fn budget_result(cost: RoleCost) -> String {
    let budget_shares = [
        ("bytes", cost.bytes_per_s / BUDGET_BYTES_PER_S),
        ("core", cost.cpu_percent / BUDGET_CPU_PERCENT),
        ("memory", cost.resident_mb / BUDGET_MEMORY_MB),
    ];
    let exceeded: Vec<String> = budget_shares
        .iter()
        .filter(|(_, share)| *share > 1.0)
        .map(|(name, share)| format!("{name} {share:.1} times the budget"))
        .collect();
    match exceeded.is_empty() {
        true => "yes".to_owned(),
        false => format!("no: {}", exceeded.join(", ")),
    }
}

fn points(group: &Value) -> &[Value] {
    group["points"].as_array().map_or(&[], Vec::as_slice)
}

fn number(point: &Value, field: &str) -> f64 {
    point[field].as_f64().unwrap_or(0.0)
}

fn push_line(page: &mut String, text: &str) {
    writeln!(page, "{text}").expect("writing to a string can't fail");
}
