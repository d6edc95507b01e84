//! Names that people give: customers, services, operations, failure domains and racks.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Longest name accepted, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// Whether `text` is a usable name: 1 to [`NAME_MAX_BYTES`] of lower-case letters, digits,
/// `-`, `_` and `.`, starting with a letter or digit.
pub fn is_valid_name(text: &str) -> bool {
    let allowed = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_' | b'.')
    };
    let starts_well = text
        .as_bytes()
        .first()
        .is_some_and(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit());
    starts_well && text.len() <= NAME_MAX_BYTES && text.bytes().all(allowed)
}

macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        ///
        /// Cheap to clone: the text is shared.
        #[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name without checking it; see [`is_valid_name`].
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
    /// Name of a customer, whose work one contract governs.
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
    DomainName
);
name_type!(
    /// Name of a rack within a failure domain.
    RackName
);
