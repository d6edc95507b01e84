//! Validated state charts and their evaluation.

use std::fmt;
use std::marker::PhantomData;

use crate::definition::{ChartDefinition, StateDefinition};
use crate::error::ChartError;

/// An enum of states or events that a chart file refers to by name.
pub trait Label: Copy + Eq + fmt::Debug + 'static {
    /// All values of the enum.
    const ALL: &'static [Self];

    /// The name of this value in the chart file.
    fn name(self) -> &'static str;

    /// Returns the value with this name, or `None` if there is none.
    fn parse(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|label| label.name() == name)
    }

    /// Returns the position of this value in [`Label::ALL`].
    ///
    /// # Panics
    ///
    /// Panics if the value is missing from [`Label::ALL`].
    fn index(self) -> usize {
        let found = Self::ALL.iter().position(|label| *label == self);
        assert!(found.is_some(), "label {self:?} is missing from ALL");
        found.unwrap_or(0)
    }
}

/// A validated state chart. For every state and event it holds the next state, or that the event is
/// ignored.
#[derive(Clone, Debug)]
pub struct Chart<S, E> {
    initial: S,
    next: Vec<Option<S>>,
    events: PhantomData<E>,
}

impl<S: Label, E: Label> Chart<S, E> {
    /// Parses and validates the text of a chart file.
    ///
    /// # Errors
    ///
    /// Returns a [`ChartError`] if the text is malformed, if a state is unknown, missing or
    /// unreachable, if an event is unknown, or if a state has no rule or two rules for an event.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let definition: ChartDefinition = serde_yaml_ng::from_str(text)?;
        let initial = parse_state::<S>(&definition.chart, &definition.initial)?;
        for state in definition.states.keys() {
            parse_state::<S>(&definition.chart, state)?;
        }
        let mut next = Vec::with_capacity(S::ALL.len() * E::ALL.len());
        for state in S::ALL {
            let state_definition = definition
                .states
                .get(state.name())
                .ok_or_else(|| ChartError::MissingState(definition.chart.clone(), state.name()))?;
            next.extend(parse_state_transitions::<S, E>(
                &definition.chart,
                *state,
                state_definition,
            )?);
        }
        let chart = Self {
            initial,
            next,
            events: PhantomData,
        };
        chart.check_reachable(&definition.chart)?;
        Ok(chart)
    }

    /// Returns the initial state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns the state that `event` leads to, or `None` if the chart ignores it in `state`.
    pub fn next(&self, state: S, event: E) -> Option<S> {
        self.next[state.index() * E::ALL.len() + event.index()]
    }

    /// Returns the state after `event`, which is `state` itself if the chart ignores the event.
    #[must_use]
    pub fn step(&self, state: S, event: E) -> S {
        self.next(state, event).unwrap_or(state)
    }

    fn check_reachable(&self, chart: &str) -> Result<(), ChartError> {
        let mut reached = vec![false; S::ALL.len()];
        let mut pending = vec![self.initial];
        while let Some(state) = pending.pop() {
            if std::mem::replace(&mut reached[state.index()], true) {
                continue;
            }
            pending.extend(E::ALL.iter().filter_map(|event| self.next(state, *event)));
        }
        let unreachable_state = S::ALL.iter().find(|state| !reached[state.index()]);
        match unreachable_state {
            Some(state) => Err(ChartError::UnreachableState(chart.to_owned(), state.name())),
            None => Ok(()),
        }
    }
}

fn parse_state<S: Label>(chart: &str, name: &str) -> Result<S, ChartError> {
    S::parse(name).ok_or_else(|| ChartError::UnknownState(chart.to_owned(), name.to_owned()))
}

/// Parses the transitions of one state, in the order of the events in [`Label::ALL`].
fn parse_state_transitions<S: Label, E: Label>(
    chart: &str,
    state: S,
    definition: &StateDefinition,
) -> Result<Vec<Option<S>>, ChartError> {
    for event in definition.on.keys().chain(&definition.ignore) {
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
        .map(|event| parse_transition(chart, state, definition, *event))
        .collect()
}

fn parse_transition<S: Label, E: Label>(
    chart: &str,
    state: S,
    definition: &StateDefinition,
    event: E,
) -> Result<Option<S>, ChartError> {
    let target = definition.on.get(event.name());
    let is_ignored = definition.ignore.iter().any(|name| name == event.name());
    match (target, is_ignored) {
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
