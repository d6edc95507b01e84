//! Checked charts and their interpretation.

use std::fmt;
use std::marker::PhantomData;

use crate::error::ChartError;
use crate::file::{ChartFile, StateFile};

/// A state or an event that a chart's file refers to by name.
pub trait Label: Copy + Eq + fmt::Debug + 'static {
    /// Every value.
    const ALL: &'static [Self];

    /// The name that the file uses.
    fn name(self) -> &'static str;

    /// The value that the file calls `name`.
    fn parse(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|label| label.name() == name)
    }

    /// Position of the value in [`Label::ALL`].
    ///
    /// # Panics
    /// Panics if the value is missing from [`Label::ALL`].
    fn index(self) -> usize {
        let found = Self::ALL.iter().position(|label| *label == self);
        assert!(found.is_some(), "label {self:?} is missing from ALL");
        found.unwrap_or(0)
    }
}

/// A checked chart: for every state and event, where the event leads.
#[derive(Clone, Debug)]
pub struct Chart<S, E> {
    initial: S,
    next: Vec<Option<S>>,
    events: PhantomData<E>,
}

impl<S: Label, E: Label> Chart<S, E> {
    /// Reads and checks a chart's file.
    ///
    /// # Errors
    /// Any fault listed by [`ChartError`]: an unknown, missing or unreachable state, an unknown
    /// event, or a state that says nothing, or two things, about an event.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file: ChartFile = serde_yaml_ng::from_str(text)?;
        let initial = parse_state::<S>(&file.chart, &file.initial)?;
        for state in file.states.keys() {
            parse_state::<S>(&file.chart, state)?;
        }
        let mut next = Vec::with_capacity(S::ALL.len() * E::ALL.len());
        for state in S::ALL {
            let described = file
                .states
                .get(state.name())
                .ok_or_else(|| ChartError::MissingState(file.chart.clone(), state.name()))?;
            next.extend(parse_row::<S, E>(&file.chart, *state, described)?);
        }
        let chart = Self {
            initial,
            next,
            events: PhantomData,
        };
        chart.check_reachable(&file.chart)?;
        Ok(chart)
    }

    /// The state in which every life begins.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// The state that `event` leads to; `None` when the chart ignores it in `state`.
    pub fn next(&self, state: S, event: E) -> Option<S> {
        self.next[state.index() * E::ALL.len() + event.index()]
    }

    /// The state after `event`, which is `state` itself when the chart ignores the event.
    #[must_use]
    pub fn step(&self, state: S, event: E) -> S {
        self.next(state, event).unwrap_or(state)
    }

    fn check_reachable(&self, chart: &str) -> Result<(), ChartError> {
        let mut reached = vec![false; S::ALL.len()];
        let mut frontier = vec![self.initial];
        while let Some(state) = frontier.pop() {
            if std::mem::replace(&mut reached[state.index()], true) {
                continue;
            }
            frontier.extend(E::ALL.iter().filter_map(|event| self.next(state, *event)));
        }
        let missed = S::ALL.iter().find(|state| !reached[state.index()]);
        match missed {
            Some(state) => Err(ChartError::UnreachableState(chart.to_owned(), state.name())),
            None => Ok(()),
        }
    }
}

fn parse_state<S: Label>(chart: &str, name: &str) -> Result<S, ChartError> {
    S::parse(name).ok_or_else(|| ChartError::UnknownState(chart.to_owned(), name.to_owned()))
}

/// What each event does in one state, in the order of the events.
fn parse_row<S: Label, E: Label>(
    chart: &str,
    state: S,
    described: &StateFile,
) -> Result<Vec<Option<S>>, ChartError> {
    for event in described.on.keys().chain(&described.ignore) {
        if E::parse(event).is_none() {
            return Err(ChartError::UnknownEvent(
                chart.to_owned(),
                state.name().to_owned(),
                event.clone(),
            ));
        }
    }
    E::ALL
        .iter()
        .map(|event| parse_cell(chart, state, described, *event))
        .collect()
}

fn parse_cell<S: Label, E: Label>(
    chart: &str,
    state: S,
    described: &StateFile,
    event: E,
) -> Result<Option<S>, ChartError> {
    let followed = described.on.get(event.name());
    let ignored = described.ignore.iter().any(|name| name == event.name());
    match (followed, ignored) {
        (Some(target), false) => parse_state(chart, target).map(Some),
        (None, true) => Ok(None),
        (Some(_), true) => Err(ChartError::ConflictingTransition(
            chart.to_owned(),
            state.name(),
            event.name(),
        )),
        (None, false) => Err(ChartError::MissingTransition(
            chart.to_owned(),
            state.name(),
            event.name(),
        )),
    }
}
