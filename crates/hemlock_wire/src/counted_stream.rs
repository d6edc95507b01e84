//! A stream wrapper that counts the bytes sent and received on connections.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures::{AsyncRead, AsyncWrite};
use metrics::Counter;

/// Counter of bytes on connections between processes of the cluster.
const BYTES_TOTAL: &str = "hemlock_wire_bytes_total";

/// One half of a stream, which counts the bytes that pass through it.
pub(crate) struct CountedStream<T> {
    inner: T,
    bytes: Counter,
}

impl<T> CountedStream<T> {
    /// Counts the bytes read from `inner` as received.
    pub(crate) fn received(inner: T) -> Self {
        Self {
            inner,
            bytes: metrics::counter!(BYTES_TOTAL, "direction" => "received"),
        }
    }

    /// Counts the bytes written to `inner` as sent.
    pub(crate) fn sent(inner: T) -> Self {
        Self {
            inner,
            bytes: metrics::counter!(BYTES_TOTAL, "direction" => "sent"),
        }
    }

    fn add_transferred(&self, polled: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(count)) = polled {
            self.bytes.increment(*count as u64);
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for CountedStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        self.add_transferred(&polled);
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for CountedStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(context, buffer);
        self.add_transferred(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}
