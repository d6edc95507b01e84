//! Stand-ins and scripts of the review: `minion …` and `case NAME FOLDER`.

mod cases;
mod http;
mod minion;
mod site;

use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let word = |at: usize| words.get(at).map(String::as_str).unwrap_or_default();
    match word(1) {
        "minion" => minion::run(minion::Settings {
            id: word(2).to_owned(),
            service: word(3).to_owned(),
            address: word(4).parse().expect("an address"),
            control: word(5).parse().expect("an address"),
            zone: word(6).to_owned(),
            labels: vec![word(7).to_owned(), "r1-1".to_owned()],
            cpu: word(8).parse().expect("a number"),
            heartbeat_ms: 1_500,
            max_lease_ms: 1_000,
        }),
        "case" => {
            site::watch_time(Duration::from_secs(112));
            let root = std::env::current_dir().expect("the root of the repository");
            let folder = PathBuf::from(word(3));
            let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
            cases::run(word(2), &root, &folder, trouble)
        }
        _ => {
            eprintln!("usage: review-standin case NAME FOLDER");
            std::process::exit(2)
        }
    }
}
