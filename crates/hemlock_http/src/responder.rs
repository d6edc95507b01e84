//! The right to answer one request.

use tokio::sync::oneshot;

use crate::response::HttpResponse;

/// Answers one request, from any thread, at any time.
///
/// Dropped unanswered, it answers 500.
#[derive(Debug)]
pub struct Responder {
    sender: oneshot::Sender<HttpResponse>,
}

impl Responder {
    /// A responder and the place where its answer arrives.
    pub(crate) fn new() -> (Self, oneshot::Receiver<HttpResponse>) {
        let (sender, receiver) = oneshot::channel();
        (Self { sender }, receiver)
    }

    /// Hands the answer to the server's threads, which write it. Never blocks.
    pub fn send(self, response: HttpResponse) {
        // The caller may have gone; then nobody waits for the answer.
        drop(self.sender.send(response));
    }

    /// Returns once the caller's connection is gone, so that no answer can reach it.
    pub async fn abandoned(&mut self) {
        self.sender.closed().await;
    }

    /// Whether the caller's connection is gone, so that no answer can reach it.
    pub fn is_abandoned(&self) -> bool {
        self.sender.is_closed()
    }
}
