//! The report must contain every run and every plot, and an error must name the invalid line.

use hemlock_bench::report::{ReportError, render_report};

const RUN: &str = r#"{"deployment":"sablah","load":0.7,"entries":2,"endpoints":11,"seed":1,"policies":[
    {"policy":"credits","excess_mean_ms":2.5,"excess_p99_ms":5.0,"p99_ratio":1.0,"wasted_per_task":0.003}]}"#;

#[test]
fn page_contains_every_plot_and_run() {
    let run = RUN.replace('\n', " ");
    let later = run.replace("0.7", "0.9");
    let page = render_report(&format!("{run}\n\n{later}\n")).expect("the report is rendered");
    assert_eq!(page.matches("<svg").count(), 4);
    assert_eq!(
        page.matches("<tr><td>credits, sablah, 2 entries, 11 endpoints")
            .count(),
        2
    );
    assert!(page.contains("<td>0.003"));
    assert!(
        !page.contains("http-equiv") && !page.contains("src="),
        "the page must not load other files"
    );
}

#[test]
fn error_names_line_that_is_not_json() {
    let run = RUN.replace('\n', " ");
    let result = render_report(&format!("{run}\nnonsense"));
    assert!(matches!(result, Err(ReportError::Json(2, _))));
}
