//! Proof that a process holds the cluster key: an HMAC over its identity and the nonces of both
//! sides.

use hmac::{Hmac, KeyInit, Mac};
use rand::Rng;
use sha2::Sha256;

use crate::identity::{Identity, role_number};

/// Length of a nonce in bytes.
pub(crate) const NONCE_BYTES: usize = 32;

/// The side of the handshake that a proof belongs to. It is part of the HMAC, so that the proof of
/// one side can't be replayed as the proof of the other.
#[derive(Clone, Copy)]
pub(crate) enum Side {
    Connecting,
    Accepting,
}

/// Identity that a process sends to its peer in the handshake.
#[derive(Clone, Copy)]
pub(crate) struct Hello {
    pub(crate) role_number: u8,
    pub(crate) incarnation: u64,
    pub(crate) id: u64,
}

impl Hello {
    pub(crate) fn from_identity(identity: &Identity) -> Self {
        Self {
            role_number: role_number(identity.role),
            incarnation: identity.incarnation.0,
            id: identity.id,
        }
    }
}

/// Generates a nonce with the thread's cryptographic random number generator.
pub(crate) fn generate_nonce() -> [u8; NONCE_BYTES] {
    let mut nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    nonce
}

/// Computes the proof for `hello` with both nonces.
pub(crate) fn create_proof(
    identity: &Identity,
    side: Side,
    hello: Hello,
    accepting_nonce: &[u8],
    connecting_nonce: &[u8],
) -> Vec<u8> {
    handshake_mac(identity, side, hello, accepting_nonce, connecting_nonce)
        .finalize()
        .into_bytes()
        .to_vec()
}

/// Returns whether `proof` is the proof for `hello`. The comparison takes constant time.
pub(crate) fn verify_proof(
    identity: &Identity,
    side: Side,
    hello: Hello,
    accepting_nonce: &[u8],
    connecting_nonce: &[u8],
    proof: &[u8],
) -> bool {
    handshake_mac(identity, side, hello, accepting_nonce, connecting_nonce)
        .verify_slice(proof)
        .is_ok()
}

fn handshake_mac(
    identity: &Identity,
    side: Side,
    hello: Hello,
    accepting_nonce: &[u8],
    connecting_nonce: &[u8],
) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(identity.key.as_bytes())
        .expect("HMAC accepts a key of any length");
    let side_byte = match side {
        Side::Connecting => 1,
        Side::Accepting => 2,
    };
    mac.update(&[side_byte, hello.role_number]);
    mac.update(&hello.incarnation.to_le_bytes());
    mac.update(&hello.id.to_le_bytes());
    for part in [
        accepting_nonce,
        connecting_nonce,
        identity.cluster.as_bytes(),
    ] {
        mac.update(&(part.len() as u64).to_le_bytes());
        mac.update(part);
    }
    mac
}
