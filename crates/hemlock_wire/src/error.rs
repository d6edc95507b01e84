//! Errors of connections, calls and frames.

use quick_error::quick_error;

quick_error! {
    /// A frame could not be encoded or decoded.
    #[derive(Debug)]
    pub enum FrameError {
        /// The message can't be encoded, or the bytes are not a message of the expected type.
        Encoding(source: postcard::Error) {
            display("the frame does not hold the expected message: {source}")
            source(source)
            from()
        }
        /// The frame is longer than its message.
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
        /// The request was malformed, or the reply could not be encoded.
        Frame(source: FrameError) {
            display("{source}")
            source(source)
            from()
        }
        /// The service is shutting down.
        Closing {
            display("the service is ending")
        }
        /// The peer's role may not send this request.
        Forbidden {
            display("the peer's role may not ask this")
        }
    }
}

quick_error! {
    /// A call over a link failed.
    #[derive(Debug)]
    pub enum CallError {
        /// The connection was already closed: the peer has not received the request.
        NeverSent {
            display("the connection was closed before the request was sent")
        }
        /// The connection closed after sending: the peer may have received the request.
        Lost {
            display("the connection closed before the reply arrived")
        }
        /// The peer replied with an error. The peer may nevertheless have carried out the request.
        Refused(reason: String) {
            display("the peer replied with an error: {reason}")
        }
        /// The request could not be encoded, or the reply was malformed.
        Frame(source: FrameError) {
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
        /// The TCP connection failed.
        Io(source: std::io::Error) {
            display("cannot connect: {source}")
            source(source)
            from()
        }
        /// The connection and its handshake were not complete in time.
        Timeout {
            display("connecting and the handshake timed out")
        }
        /// The peer refused the handshake, or the connection closed during it.
        Handshake(source: capnp::Error) {
            display("handshake failed: {source}")
            source(source)
            from()
        }
        /// The peer could not prove that it holds the cluster key: its cluster name or its key
        /// differs, or its role is unknown.
        AuthenticationFailed {
            display("the peer does not hold this cluster's key; check `cluster` and `cluster_key` on both sides")
        }
    }
}
