//! Tests the transitions of a valid chart, and that parsing finds each kind of error in a chart
//! file.

use hemlock_chart::prelude::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DoorState {
    Open,
    Shut,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DoorEvent {
    Push,
    Pull,
}

impl Label for DoorState {
    const ALL: &'static [Self] = &[Self::Open, Self::Shut];
    fn name(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Shut => "shut",
        }
    }
}

impl Label for DoorEvent {
    const ALL: &'static [Self] = &[Self::Push, Self::Pull];
    fn name(self) -> &'static str {
        match self {
            Self::Push => "push",
            Self::Pull => "pull",
        }
    }
}

fn parse(open: &str, shut: &str) -> Result<Chart<DoorState, DoorEvent>, ChartError> {
    let text = format!(
        "chart: door\ninitial: open\nstates:\n  open: {{ {open} }}\n  shut: {{ {shut} }}\n"
    );
    Chart::parse(&text)
}

const OPEN_DEFINITION: &str = "on: { push: shut }, ignore: [pull]";
const SHUT_DEFINITION: &str = "on: { pull: open }, ignore: [push]";

#[test]
fn events_are_followed_or_ignored() {
    let chart = parse(OPEN_DEFINITION, SHUT_DEFINITION).expect("a valid chart");
    assert_eq!(chart.initial(), DoorState::Open);
    assert_eq!(
        chart.next(DoorState::Open, DoorEvent::Push),
        Some(DoorState::Shut)
    );
    assert_eq!(chart.next(DoorState::Open, DoorEvent::Pull), None);
    assert_eq!(
        chart.step(DoorState::Open, DoorEvent::Pull),
        DoorState::Open
    );
}

#[test]
fn invalid_charts_give_specific_errors() {
    let results = [
        parse("on: { push: ajar }, ignore: [pull]", SHUT_DEFINITION),
        parse("on: { kick: shut }, ignore: [push, pull]", SHUT_DEFINITION),
        parse("on: { push: shut }", SHUT_DEFINITION),
        parse(
            "on: { push: shut, pull: shut }, ignore: [pull]",
            SHUT_DEFINITION,
        ),
        parse("ignore: [push, pull]", SHUT_DEFINITION),
        Chart::parse("chart: door\ninitial: open\nstates: { open: { ignore: [push, pull] } }"),
        Chart::parse("chart: door\ninitial: open\nstates: 3"),
    ];
    let errors: Vec<_> = results
        .into_iter()
        .map(|result| result.expect_err("an invalid chart"))
        .collect();
    assert!(matches!(&errors[0], ChartError::UnknownState(_, state) if state == "ajar"));
    assert!(matches!(&errors[1], ChartError::UnknownEvent(_, _, event) if event == "kick"));
    assert!(matches!(
        &errors[2],
        ChartError::MissingTransition(_, "open", "pull")
    ));
    assert!(matches!(
        &errors[3],
        ChartError::ConflictingTransition(_, "open", "pull")
    ));
    assert!(matches!(
        &errors[4],
        ChartError::UnreachableState(_, "shut")
    ));
    assert!(matches!(&errors[5], ChartError::MissingState(_, "shut")));
    assert!(matches!(&errors[6], ChartError::Syntax(_)));
}
