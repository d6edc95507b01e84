//! Counts the bytes that pass over connections.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures::{AsyncRead, AsyncWrite};
use metrics::Counter;

/// Counts bytes on connections between the system's own processes.
const BYTES_TOTAL: &str = "hemlock_wire_bytes_total";

/// A stream half that counts what passes through it.
pub(crate) struct Counted<T> {
    inner: T,
    bytes: Counter,
}

impl<T> Counted<T> {
    /// Counts what is read from `inner`.
    pub(crate) fn received(inner: T) -> Self {
        Self {
            inner,
            bytes: metrics::counter!(BYTES_TOTAL, "direction" => "received"),
        }
    }

    /// Counts what is written to `inner`.
    pub(crate) fn sent(inner: T) -> Self {
        Self {
            inner,
            bytes: metrics::counter!(BYTES_TOTAL, "direction" => "sent"),
        }
    }

    fn count(&self, polled: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(count)) = polled {
            self.bytes.increment(*count as u64);
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Counted<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        self.count(&polled);
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Counted<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(context, buffer);
        self.count(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}
