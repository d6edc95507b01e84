//! HTTP server for operators, health checks and metrics.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crossbeam::channel::{Sender, TrySendError};
use hemlock_http::prelude::*;
use hemlock_types::prelude::*;

use super::input::Input;
use crate::core::event::OperatorCall;

/// HTTP statuses of the replies that the HTTP API sends itself.
mod status {
    pub(super) const OK: u16 = 200;
    pub(super) const UNAUTHORIZED: u16 = 401;
    pub(super) const UNAVAILABLE: u16 = 503;
}

/// HTTP handler. It answers health checks and metrics requests itself and forwards operators' calls
/// to the control thread.
pub(super) struct HttpApi {
    pub(super) control: Sender<Input>,
    pub(super) operator_keys: Vec<Digest>,
    pub(super) ready: Arc<AtomicBool>,
}

impl HttpHandler for HttpApi {
    fn handle(&self, request: HttpRequest, responder: Responder) {
        match request.path.as_str() {
            "/healthz" => responder.send(HttpResponse::text(status::OK, "ok\n")),
            "/readyz" => responder.send(self.readiness()),
            "/metrics" => responder.send(HttpResponse::text(
                status::OK,
                hemlock_telemetry::render_metrics(),
            )),
            _ if !self.is_operator(&request) => responder.send(unauthorized()),
            _ => self.forward(request, responder),
        }
    }
}

impl HttpApi {
    fn readiness(&self) -> HttpResponse {
        match self.ready.load(Ordering::Acquire) {
            true => HttpResponse::text(status::OK, "ready\n"),
            false => HttpResponse::text(status::UNAVAILABLE, "no leader is known, or draining\n"),
        }
    }

    /// Returns `true` if the request has an operator key. It compares with all keys, so that the
    /// response time reveals nothing about them.
    fn is_operator(&self, request: &HttpRequest) -> bool {
        let Some(key) = request.bearer() else {
            return false;
        };
        let presented = Digest::of_key(key.as_bytes());
        self.operator_keys
            .iter()
            .fold(false, |found, known| found | known.matches(&presented))
    }

    fn forward(&self, request: HttpRequest, responder: Responder) {
        let path = match &request.query {
            Some(query) => format!("{}?{query}", request.path),
            None => request.path.clone(),
        };
        let call = OperatorCall {
            method: request.method.to_string(),
            path,
            body: request.body,
        };
        match self.control.try_send(Input::Call(call, responder)) {
            Ok(()) => {}
            Err(TrySendError::Full(input) | TrySendError::Disconnected(input)) => refuse(input),
        }
    }
}

fn refuse(input: Input) {
    if let Input::Call(_, responder) = input {
        let answer =
            HttpResponse::error(status::UNAVAILABLE, "unavailable", "the keeper is stopping")
                .with_header("Retry-After", "1");
        responder.send(answer);
    }
}

fn unauthorized() -> HttpResponse {
    HttpResponse::error(
        status::UNAUTHORIZED,
        "unauthorized",
        "an operator's key is needed as a bearer token",
    )
    .with_header("WWW-Authenticate", "Bearer")
}
