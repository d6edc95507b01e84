//! State charts that are defined in YAML files and evaluated at run time.
//!
//! A chart file lists every state. For each state it lists every event, either with a transition
//! (`on`) or as ignored (`ignore`). [`Chart::parse`] validates the file against the states and
//! events in the program, so that an error in the file is found when the process starts.
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
mod definition;
mod error;

pub use chart::{Chart, Label};
pub use error::ChartError;

/// The most commonly used items.
pub mod prelude {
    pub use crate::chart::{Chart, Label};
    pub use crate::error::ChartError;
}
