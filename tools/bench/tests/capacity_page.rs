//! The capacity page quotes exactly the recorded slopes.

use std::path::PathBuf;

use hemlock_bench::capacity::{BEGIN, END, render_figures};

fn docs_file(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(name);
    std::fs::read_to_string(&path).expect("the page and the recorded slopes are in docs")
}

#[test]
fn the_page_quotes_the_recorded_slopes() {
    let slopes = serde_json::from_str(&docs_file("capacity-slopes.json")).expect("JSON");
    let page = docs_file("CAPACITY.md");
    let (_, rest) = page
        .split_once(BEGIN)
        .expect("the figures have a beginning");
    let (figures, _) = rest.split_once(END).expect("the figures have an end");
    assert_eq!(
        figures.trim(),
        render_figures(&slopes).trim(),
        "run `hemlock-bench capacity` and put what it prints between the markers"
    );
}
