//! Generated load, the ideal it is compared with, and summaries.

pub(crate) mod caller;
pub(crate) mod fit;
pub(crate) mod ideal;
pub(crate) mod summary;
pub(crate) mod trace;
