//! Proof of the cluster key by a keyed hash over both sides' nonces.

use hmac::{Hmac, KeyInit, Mac};
use rand::Rng;
use sha2::Sha256;

use crate::identity::{Identity, role_number};

/// Length of a nonce in bytes.
pub(crate) const NONCE_BYTES: usize = 32;

/// Which side of the handshake a proof is for, so that neither can be replayed as the other.
#[derive(Clone, Copy)]
pub(crate) enum Side {
    Connecting,
    Accepting,
}

/// What a process says of itself in the handshake.
#[derive(Clone, Copy)]
pub(crate) struct Introduction {
    pub(crate) role_number: u8,
    pub(crate) incarnation: u64,
    pub(crate) id: u64,
}

impl Introduction {
    pub(crate) fn of(identity: &Identity) -> Self {
        Self {
            role_number: role_number(identity.role),
            incarnation: identity.incarnation.0,
            id: identity.id,
        }
    }
}

/// Draws a fresh nonce from the operating system's generator.
pub(crate) fn draw_nonce() -> [u8; NONCE_BYTES] {
    let mut nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    nonce
}

/// The proof for `introduction` under both nonces.
pub(crate) fn prove(
    identity: &Identity,
    side: Side,
    introduction: Introduction,
    accepting_nonce: &[u8],
    connecting_nonce: &[u8],
) -> Vec<u8> {
    keyed_hash(
        identity,
        side,
        introduction,
        accepting_nonce,
        connecting_nonce,
    )
    .finalize()
    .into_bytes()
    .to_vec()
}

/// Whether `proof` is the proof for `introduction`; takes the same time for any wrong proof.
pub(crate) fn is_proof(
    identity: &Identity,
    side: Side,
    introduction: Introduction,
    accepting_nonce: &[u8],
    connecting_nonce: &[u8],
    proof: &[u8],
) -> bool {
    keyed_hash(
        identity,
        side,
        introduction,
        accepting_nonce,
        connecting_nonce,
    )
    .verify_slice(proof)
    .is_ok()
}

fn keyed_hash(
    identity: &Identity,
    side: Side,
    introduction: Introduction,
    accepting_nonce: &[u8],
    connecting_nonce: &[u8],
) -> Hmac<Sha256> {
    let mut hash = Hmac::<Sha256>::new_from_slice(identity.key.as_bytes())
        .expect("a keyed hash takes a key of any length");
    let side_byte = match side {
        Side::Connecting => 1,
        Side::Accepting => 2,
    };
    hash.update(&[side_byte, introduction.role_number]);
    hash.update(&introduction.incarnation.to_le_bytes());
    hash.update(&introduction.id.to_le_bytes());
    for part in [
        accepting_nonce,
        connecting_nonce,
        identity.cluster.as_bytes(),
    ] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash
}
