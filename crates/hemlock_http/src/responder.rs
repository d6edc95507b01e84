//! The handle through which a handler responds to one request.

use tokio::sync::oneshot;

use crate::response::HttpResponse;

/// Sends the response to one request, from any thread and at any time.
///
/// If it is dropped without a response, the server responds with status 500.
#[derive(Debug)]
pub struct Responder {
    sender: oneshot::Sender<HttpResponse>,
}

impl Responder {
    /// Creates a responder and the receiver of its response.
    pub(crate) fn new() -> (Self, oneshot::Receiver<HttpResponse>) {
        let (sender, receiver) = oneshot::channel();
        (Self { sender }, receiver)
    }

    /// Passes the response to the server's threads, which write it. Never blocks.
    pub fn send(self, response: HttpResponse) {
        // Fails if the client has disconnected; the response is then not needed.
        drop(self.sender.send(response));
    }

    /// Waits until the client has disconnected, so that no response can reach it.
    pub async fn abandoned(&mut self) {
        self.sender.closed().await;
    }

    /// Returns whether the client has disconnected, so that no response can reach it.
    pub fn is_abandoned(&self) -> bool {
        self.sender.is_closed()
    }
}
