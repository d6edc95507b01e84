//! User-defined names of customers, services, operations, failure domains and racks.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Maximum length of a name in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// Returns `true` if `text` is a valid name: 1 to [`NAME_MAX_BYTES`] lower-case ASCII letters,
/// digits, `-`, `_` and `.`, starting with a letter or digit.
pub fn is_valid_name(text: &str) -> bool {
    let is_allowed_byte = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_' | b'.')
    };
    let has_valid_start = text
        .as_bytes()
        .first()
        .is_some_and(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit());
    has_valid_start && text.len() <= NAME_MAX_BYTES && text.bytes().all(is_allowed_byte)
}

macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        ///
        /// Clones share the text, so that cloning does not allocate.
        #[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name without validating it; see [`is_valid_name`].
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    };
}

name_type!(
    /// Name of a customer. Each customer has one contract, which governs its work.
    CustomerName
);
name_type!(
    /// Name of a service that endpoints offer.
    ServiceName
);
name_type!(
    /// Name of an operation of a service.
    OperationName
);
name_type!(
    /// Name of a failure domain.
    FailureDomainName
);
name_type!(
    /// Name of a rack within a failure domain.
    RackName
);
