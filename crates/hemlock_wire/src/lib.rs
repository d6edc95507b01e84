//! Connections and messages between the system's own processes.

pub mod message;
