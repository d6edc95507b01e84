//! Typed failures of connections and calls.

use quick_error::quick_error;

quick_error! {
    /// A frame could not be encoded or decoded.
    #[derive(Debug)]
    pub enum FrameError {
        /// The message does not fit the encoding.
        Encoding(source: postcard::Error) {
            display("the frame does not hold the expected message: {source}")
            source(source)
            from()
        }
        /// Bytes follow the message.
        TrailingBytes(count: usize) {
            display("{count} bytes follow the message in its frame")
        }
        /// The checksum does not match the bytes.
        Checksum {
            display("the frame's checksum does not match its bytes")
        }
    }
}

quick_error! {
    /// A service could not answer a request.
    #[derive(Debug)]
    pub enum ServiceError {
        /// The request was not understood.
        Frame(source: FrameError) {
            display("{source}")
            source(source)
            from()
        }
        /// The service is ending.
        Closing {
            display("the service is ending")
        }
        /// The peer's role may not ask this.
        Forbidden {
            display("the peer's role may not ask this")
        }
    }
}

quick_error! {
    /// A call over a link failed.
    #[derive(Debug)]
    pub enum CallError {
        /// The link was already closed: the peer has not received the request.
        NeverSent {
            display("the link was closed before the request was sent")
        }
        /// The link closed after sending: the peer may have received the request.
        Lost {
            display("the link closed before the answer came")
        }
        /// The peer answered with an error; it says nothing of what the peer did.
        Refused(reason: String) {
            display("the peer refused the request: {reason}")
        }
        /// The request or its answer was malformed.
        Broken(source: FrameError) {
            display("{source}")
            source(source)
            from()
        }
    }
}

quick_error! {
    /// A connection could not be opened.
    #[derive(Debug)]
    pub enum ConnectError {
        /// The address did not accept a connection.
        Io(source: std::io::Error) {
            display("no connection: {source}")
            source(source)
            from()
        }
        /// The peer did not finish the handshake in time.
        Timeout {
            display("the peer did not finish the handshake in time")
        }
        /// The peer ended the handshake.
        Handshake(source: capnp::Error) {
            display("the handshake failed: {source}")
            source(source)
            from()
        }
        /// The peer could not prove the cluster key: wrong cluster or wrong key.
        Unproven {
            display("the peer does not hold this cluster's key; check `cluster` and `cluster_key` on both sides")
        }
    }
}
