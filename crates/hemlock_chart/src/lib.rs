//! State charts kept in YAML files and interpreted at run time.
//!
//! A chart names every state and, for each, what every event does in it: a transition (`on`)
//! or nothing (`ignore`). [`Chart::parse`] checks the file against the states and events that
//! the program knows, so that a mistake stops the process at its start.
//!
//! ```
//! use hemlock_chart::prelude::*;
//!
//! #[derive(Clone, Copy, Debug, PartialEq, Eq)]
//! enum Lamp { Off, On }
//! #[derive(Clone, Copy, Debug, PartialEq, Eq)]
//! enum Press { Button }
//!
//! impl Label for Lamp {
//!     const ALL: &'static [Self] = &[Self::Off, Self::On];
//!     fn name(self) -> &'static str {
//!         match self { Self::Off => "off", Self::On => "on" }
//!     }
//! }
//! impl Label for Press {
//!     const ALL: &'static [Self] = &[Self::Button];
//!     fn name(self) -> &'static str { "button" }
//! }
//!
//! let text = "
//! chart: lamp
//! initial: off
//! states:
//!   off: { on: { button: on } }
//!   on: { on: { button: off } }
//! ";
//! let chart = Chart::<Lamp, Press>::parse(text)?;
//! assert_eq!(chart.next(Lamp::Off, Press::Button), Some(Lamp::On));
//! # Ok::<(), ChartError>(())
//! ```

mod chart;
mod error;
mod file;

pub use chart::{Chart, Label};
pub use error::ChartError;

/// The items that most callers need.
pub mod prelude {
    pub use crate::chart::{Chart, Label};
    pub use crate::error::ChartError;
}
