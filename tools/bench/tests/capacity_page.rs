//! The figures on the capacity page must match the recorded slopes in docs. The test fails when
//! only one of the two was updated.

use std::path::PathBuf;

use hemlock_bench::capacity::{BEGIN, END, render_figures};

fn docs_file(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(name);
    std::fs::read_to_string(&path).expect("the file is in docs")
}

#[test]
fn capacity_page_matches_recorded_slopes() {
    let slopes = serde_json::from_str(&docs_file("capacity-slopes.json")).expect("JSON");
    let page = docs_file("CAPACITY.md");
    let (_, rest) = page
        .split_once(BEGIN)
        .expect("the page has the marker before the figures");
    let (figures, _) = rest
        .split_once(END)
        .expect("the page has the marker after the figures");
    assert_eq!(
        figures.trim(),
        render_figures(&slopes).trim(),
        "run `hemlock-bench capacity` and paste its output between the markers"
    );
}
