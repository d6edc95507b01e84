//! HTTP server and clients with limits on size and time.
//!
//! The server reads complete requests and passes each to an
//! [`HttpHandler`](server::HttpHandler). The handler gives the response to a
//! [`Responder`](responder::Responder), at any later time and from any thread. A waiting request
//! occupies no thread. The errors of the clients distinguish a request that was never sent from
//! one that may have been carried out.
//!
//! ```
//! use std::sync::Arc;
//! use hemlock_http::prelude::*;
//!
//! struct Greeter;
//! impl HttpHandler for Greeter {
//!     fn handle(&self, request: HttpRequest, responder: Responder) {
//!         responder.send(HttpResponse::new(200).with_body(request.body, "text/plain"));
//!     }
//! }
//!
//! let address = "127.0.0.1:0".parse().unwrap();
//! let server = HttpServer::start(HttpServerConfig::new(address), Arc::new(Greeter)).unwrap();
//! let client = HttpClient::new(HttpClientConfig::default());
//! let call = HttpCall::new(Method::Post, server.address(), "/hello").with_body("hi", "text/plain");
//! assert_eq!(client.send(&call).unwrap().body, "hi");
//! server.stop();
//! server.join();
//! ```

pub mod channel;
pub mod client;
pub mod config;
mod connection;
pub mod error;
mod head;
pub mod request;
pub mod responder;
pub mod response;
pub mod server;

pub use tiny_http::Method;

/// The most commonly used items.
pub mod prelude {
    pub use crate::Method;
    pub use crate::channel::{ChannelCall, HttpChannel};
    pub use crate::client::{HttpCall, HttpClient, HttpClientConfig, HttpReply};
    pub use crate::config::HttpServerConfig;
    pub use crate::error::{HttpClientError, HttpError};
    pub use crate::request::{Headers, HttpRequest, SentAfter};
    pub use crate::responder::Responder;
    pub use crate::response::HttpResponse;
    pub use crate::server::{HttpHandler, HttpServer, serve_on};
}
