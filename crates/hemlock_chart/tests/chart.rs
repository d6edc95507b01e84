//! Faults in a chart's file are found when it is read.

use hemlock_chart::prelude::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Door {
    Open,
    Shut,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hand {
    Push,
    Pull,
}

impl Label for Door {
    const ALL: &'static [Self] = &[Self::Open, Self::Shut];
    fn name(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Shut => "shut",
        }
    }
}

impl Label for Hand {
    const ALL: &'static [Self] = &[Self::Push, Self::Pull];
    fn name(self) -> &'static str {
        match self {
            Self::Push => "push",
            Self::Pull => "pull",
        }
    }
}

fn parse(open: &str, shut: &str) -> Result<Chart<Door, Hand>, ChartError> {
    let text = format!(
        "chart: door\ninitial: open\nstates:\n  open: {{ {open} }}\n  shut: {{ {shut} }}\n"
    );
    Chart::parse(&text)
}

const OPEN: &str = "on: { push: shut }, ignore: [pull]";
const SHUT: &str = "on: { pull: open }, ignore: [push]";

#[test]
fn follows_and_ignores() {
    let chart = parse(OPEN, SHUT).expect("a sound chart");
    assert_eq!(chart.initial(), Door::Open);
    assert_eq!(chart.next(Door::Open, Hand::Push), Some(Door::Shut));
    assert_eq!(chart.next(Door::Open, Hand::Pull), None);
    assert_eq!(chart.step(Door::Open, Hand::Pull), Door::Open);
}

#[test]
fn faults_are_typed() {
    let faults = [
        parse("on: { push: ajar }, ignore: [pull]", SHUT),
        parse("on: { kick: shut }, ignore: [push, pull]", SHUT),
        parse("on: { push: shut }", SHUT),
        parse("on: { push: shut, pull: shut }, ignore: [pull]", SHUT),
        parse("ignore: [push, pull]", SHUT),
        Chart::parse("chart: door\ninitial: open\nstates: { open: { ignore: [push, pull] } }"),
        Chart::parse("chart: door\ninitial: open\nstates: 3"),
    ];
    let kinds: Vec<_> = faults
        .into_iter()
        .map(|fault| fault.expect_err("a fault"))
        .collect();
    assert!(matches!(&kinds[0], ChartError::UnknownState(_, state) if state == "ajar"));
    assert!(matches!(&kinds[1], ChartError::UnknownEvent(_, _, event) if event == "kick"));
    assert!(matches!(
        &kinds[2],
        ChartError::MissingTransition(_, "open", "pull")
    ));
    assert!(matches!(
        &kinds[3],
        ChartError::ConflictingTransition(_, "open", "pull")
    ));
    assert!(matches!(&kinds[4], ChartError::UnreachableState(_, "shut")));
    assert!(matches!(&kinds[5], ChartError::MissingState(_, "shut")));
    assert!(matches!(&kinds[6], ChartError::Syntax(_)));
}
