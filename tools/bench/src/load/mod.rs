//! Generates load, computes the ideal response times to compare with, and summarizes results.

pub(crate) mod caller;
pub(crate) mod fit;
pub(crate) mod ideal;
pub(crate) mod summary;
pub(crate) mod trace;
