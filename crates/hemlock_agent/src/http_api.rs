//! The agent's HTTP API for the endpoint instance, health checks and metrics.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use crossbeam::channel::Sender;
use hemlock_gate::prelude::*;
use hemlock_http::prelude::*;
use hemlock_types::names::is_valid_name;
use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::command::Command;

/// Most slots or connections that an endpoint instance may announce.
const MAX_SLOTS: u16 = 4_096;

/// Body of `PUT /v1/endpoint`, with which an endpoint instance announces itself.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct OfferBody {
    service: String,
    slots: u16,
    connections: u16,
    address: SocketAddr,
}

impl OfferBody {
    /// Returns the offer, or a message about the first invalid field.
    fn validate(self) -> Result<Offer, &'static str> {
        match self {
            Self { service, .. } if !is_valid_name(&service) => {
                Err("service: expected 1 to 64 of a-z, 0-9, `-`, `_` and `.`")
            }
            Self { slots, .. } if !(1..=MAX_SLOTS).contains(&slots) => {
                Err("slots: expected 1 to 4096")
            }
            Self {
                connections, slots, ..
            } if connections < slots => Err("connections: expected at least as many as slots"),
            Self { address, .. } if address.port() == 0 => Err("address: expected a port"),
            Self {
                service,
                slots,
                connections,
                address,
            } => Ok(Offer {
                service: ServiceName::new(service),
                slots,
                connections,
                address,
            }),
        }
    }
}

/// JSON report about the endpoint instance.
#[derive(Debug, Serialize)]
pub(crate) struct EndpointReport {
    agent: String,
    phase: String,
    service: Option<String>,
    slots: u16,
    running: u16,
}

impl EndpointReport {
    /// Builds the report from the gate's state.
    pub(crate) fn new(agent: Incarnation, offer: Option<&Offer>, status: &GateStatus) -> Self {
        Self {
            agent: agent.to_string(),
            phase: status.phase.to_string(),
            service: offer.map(|offer| offer.service.to_string()),
            slots: status.slots,
            running: status.running,
        }
    }
}

/// The endpoint's latest phase, written by the control thread and read by the HTTP threads.
#[derive(Clone)]
pub(crate) struct SharedPhase(Arc<Mutex<EndpointPhase>>);

impl SharedPhase {
    pub(crate) fn new() -> Self {
        Self(Arc::new(Mutex::new(EndpointPhase::Absent)))
    }

    pub(crate) fn set(&self, phase: EndpointPhase) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = phase;
    }

    pub(crate) fn get(&self) -> EndpointPhase {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handler of the agent's HTTP server.
pub(crate) struct HttpApi {
    pub(crate) commands: Sender<Command>,
    pub(crate) phase: SharedPhase,
}

impl HttpHandler for HttpApi {
    fn handle(&self, request: HttpRequest, responder: Responder) {
        match (&request.method, request.path.as_str()) {
            (Method::Put, "/v1/endpoint") => self.announce(&request, responder),
            (Method::Delete, "/v1/endpoint") => self.send(Command::Withdraw { responder }),
            (Method::Get, "/healthz") => responder.send(HttpResponse::text(200, "ok\n")),
            (Method::Get, "/readyz") => responder.send(self.readiness()),
            (Method::Get, "/metrics") => responder.send(metrics_response()),
            (_, "/v1/endpoint" | "/healthz" | "/readyz" | "/metrics") => {
                responder.send(HttpResponse::error(
                    405,
                    "method",
                    "the path has other methods",
                ));
            }
            _ => responder.send(HttpResponse::error(404, "path", "no such path")),
        }
    }
}

impl HttpApi {
    fn send(&self, command: Command) {
        // If the control thread has ended, the responder is dropped, which answers 500.
        let _ = self.commands.send(command);
    }

    fn announce(&self, request: &HttpRequest, responder: Responder) {
        let body = match serde_json::from_slice::<OfferBody>(&request.body) {
            Ok(body) => body,
            Err(error) => {
                let message = error.to_string();
                return responder.send(HttpResponse::error(400, "body", &message));
            }
        };
        match body.validate() {
            Ok(offer) => self.send(Command::Announce { offer, responder }),
            Err(message) => responder.send(HttpResponse::error(422, "field", message)),
        }
    }

    fn readiness(&self) -> HttpResponse {
        let phase = self.phase.get();
        let status = match phase {
            EndpointPhase::Serving => 200,
            _ => 503,
        };
        HttpResponse::text(status, format!("{phase}\n"))
    }
}

fn metrics_response() -> HttpResponse {
    HttpResponse::text(200, hemlock_telemetry::render_metrics())
}
