//! The HTTP interface to callers.

mod answer;
mod handler;
mod job;

pub(crate) use answer::{job_response, request_response};
pub(crate) use handler::HttpApi;
