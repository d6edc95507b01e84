//! Crate of the hemlockridge dispatcher.
