//! Renders recorded figures of the `latency` scenario as a self-contained HTML page with plots.

use std::collections::BTreeMap;
use std::fmt::Write;

use plotters::prelude::*;
use quick_error::quick_error;
use serde_json::Value;

/// Size of a plot in pixels.
const PLOT_PIXELS: (u32, u32) = (640, 360);
/// Margin of a plot in pixels.
const MARGIN_PIXELS: u32 = 20;
/// Space for the labels of an axis, in pixels.
const LABELS_PIXELS: u32 = 50;

quick_error! {
    /// Error that keeps a report from being rendered.
    #[derive(Debug)]
    pub enum ReportError {
        /// Line of the input that is not valid JSON.
        Json(line: usize, source: serde_json::Error) {
            display("line {line} of the figures is not valid JSON: {source}")
            source(source)
        }
        /// Error of the plotting library.
        Plot(reason: String) {
            display("a plot could not be drawn: {reason}")
        }
    }
}

/// Points (offered load, figure) of each plotted line, by its name.
type Series = BTreeMap<String, Vec<(f64, f64)>>;

/// Plots: the field of a policy's figures, and the title.
const PLOTS: [(&str, &str); 4] = [
    (
        "excess_mean_ms",
        "mean excess over the ideal, ms, by offered load",
    ),
    (
        "excess_p99_ms",
        "99th percentile of the excess, ms, by offered load",
    ),
    (
        "p99_ratio",
        "99th percentile of response time over the ideal's, by offered load",
    ),
    (
        "wasted_per_task",
        "wasted messages for each task, by offered load",
    ),
];

/// Renders the page from figures as `hemlock-bench latency` prints them, one JSON object per line.
///
/// # Errors
///
/// [`ReportError`] with the line that is not valid JSON, or with the plotting library's error.
pub fn render_report(lines: &str) -> Result<String, ReportError> {
    let runs = parse_runs(lines)?;
    let mut page =
        String::from("<!doctype html>\n<meta charset=\"utf-8\">\n<title>Latency</title>\n");
    page.push_str("<h1>Response time and wasted messages by policy</h1>\n");
    for (field, title) in PLOTS {
        page.push_str(&plot(title, &series_of(&runs, field))?);
        page.push('\n');
    }
    page.push_str(&table(&runs));
    Ok(page)
}

fn parse_runs(lines: &str) -> Result<Vec<Value>, ReportError> {
    lines
        .lines()
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty())
        .map(|(index, line)| {
            serde_json::from_str(line).map_err(|error| ReportError::Json(index + 1, error))
        })
        .collect()
}

fn policies(run: &Value) -> &[Value] {
    run["policies"].as_array().map_or(&[], Vec::as_slice)
}

/// Returns the name of a line in a plot: the policy, and the deployment with its sizes.
fn series_name(run: &Value, policy: &Value) -> String {
    let text = |value: &Value| {
        value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned)
    };
    format!(
        "{}, {}, {} entries, {} endpoints",
        text(&policy["policy"]),
        text(&run["deployment"]),
        run["entries"],
        run["endpoints"],
    )
}

fn series_of(runs: &[Value], field: &str) -> Series {
    let mut series = Series::new();
    for run in runs {
        let load = run["load"].as_f64().unwrap_or(0.0);
        for policy in policies(run) {
            let value = policy[field].as_f64().unwrap_or(0.0);
            series
                .entry(series_name(run, policy))
                .or_default()
                .push((load, value));
        }
    }
    for points in series.values_mut() {
        points.sort_by(|left, right| left.0.total_cmp(&right.0));
    }
    series
}

fn plot(title: &str, series: &Series) -> Result<String, ReportError> {
    let mut image = String::new();
    draw(&mut image, title, series).map_err(ReportError::Plot)?;
    Ok(image)
}

fn draw(image: &mut String, title: &str, series: &Series) -> Result<(), String> {
    let points = || series.values().flatten();
    let highest = points().map(|point| point.1).fold(1e-3, f64::max);
    let lowest = points().map(|point| point.1).fold(0.0, f64::min);
    let last_load = points().map(|point| point.0).fold(1.0, f64::max);
    let area = SVGBackend::with_string(image, PLOT_PIXELS).into_drawing_area();
    area.fill(&WHITE).map_err(|error| error.to_string())?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 15))
        .margin(MARGIN_PIXELS)
        .x_label_area_size(LABELS_PIXELS)
        .y_label_area_size(LABELS_PIXELS)
        .build_cartesian_2d(0.0..last_load * 1.05, lowest * 1.1..highest * 1.1)
        .map_err(|error| error.to_string())?;
    chart
        .configure_mesh()
        .draw()
        .map_err(|error| error.to_string())?;
    for (index, (name, points)) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), color).point_size(3))
            .map_err(|error| error.to_string())?
            .label(name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 12, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(|error| error.to_string())?;
    area.present().map_err(|error| error.to_string())
}

fn table(runs: &[Value]) -> String {
    let mut table = String::from("<table border=1><tr><th>run<th>load<th>seed");
    for (_, title) in PLOTS {
        let name = title.trim_end_matches(", by offered load");
        write!(table, "<th>{name}").expect("writing to a string can't fail");
    }
    table.push_str("</tr>\n");
    for run in runs {
        for policy in policies(run) {
            let name = series_name(run, policy);
            write!(
                table,
                "<tr><td>{name}<td>{}<td>{}",
                run["load"], run["seed"]
            )
            .expect("writing to a string can't fail");
            for (field, _) in PLOTS {
                write!(table, "<td>{}", policy[field]).expect("writing to a string can't fail");
            }
            table.push_str("</tr>\n");
        }
    }
    table.push_str("</table>\n");
    table
}
