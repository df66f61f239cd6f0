//! Mutual authentication on the control port: before the first frame, both sides prove that
//! they hold the fleet's key, and the initiator states its identity.
//!
//! The key itself is never sent; each side responds to the other's random nonce with a keyed
//! BLAKE3 hash. This rejects hosts without the key. It neither encrypts the traffic nor
//! protects it against an attacker who can modify packets in transit; see docs/security.md.

use std::io;

use sl_base::{Incarnation, InstanceId};
use subtle::ConstantTimeEq;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Key of the handshake, derived from the fleet's secret in the settings.
#[derive(Clone)]
pub struct HandshakeKey([u8; KEY_BYTES]);

impl std::fmt::Debug for HandshakeKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("HandshakeKey(..)")
    }
}

impl HandshakeKey {
    /// Derives the key. Instances with the same `secret` get the same key.
    pub fn derive(secret: &[u8]) -> HandshakeKey {
        HandshakeKey(blake3::derive_key(KEY_CONTEXT, secret))
    }
}

/// Identity of the initiator, sent in the handshake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// The initiating instance.
    pub instance: InstanceId,
    /// Distinguishes this run of the instance from earlier ones.
    pub incarnation: Incarnation,
}

/// Why a link could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The TCP connection could not be opened or broke during the handshake.
    #[error("connection failed or was closed during the handshake")]
    Io(#[from] io::Error),
    /// The peer's proof does not match the fleet's key.
    #[error("peer does not hold the fleet's key")]
    WrongKey,
    /// Connecting and the handshake exceeded [`Options::connect_timeout`].
    ///
    /// [`Options::connect_timeout`]: crate::Options::connect_timeout
    #[error("connecting and the handshake timed out")]
    Timeout,
}

/// Runs the initiator's side: sends a nonce, receives the peer's nonce and proof, and sends
/// identity and proof.
pub(crate) async fn initiate<S>(
    stream: &mut S,
    key: &HandshakeKey,
    hello: Hello,
) -> Result<(), ConnectError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let own_nonce = new_nonce()?;
    stream.write_all(&own_nonce).await?;
    let peer_nonce = read_array(stream).await?;
    let proof: Proof = read_array(stream).await?;
    verify(&proof, &compute_proof(key, Role::Responder, &own_nonce, &peer_nonce, &[]))?;
    let identity = encode_hello(hello);
    let proof = compute_proof(key, Role::Initiator, &own_nonce, &peer_nonce, &identity);
    stream.write_all(&identity).await?;
    stream.write_all(&proof).await?;
    stream.flush().await?;
    Ok(())
}

/// Runs the responder's side and returns the initiator's identity.
pub(crate) async fn respond<S>(stream: &mut S, key: &HandshakeKey) -> Result<Hello, ConnectError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let peer_nonce: Nonce = read_array(stream).await?;
    let own_nonce = new_nonce()?;
    stream.write_all(&own_nonce).await?;
    let proof = compute_proof(key, Role::Responder, &peer_nonce, &own_nonce, &[]);
    stream.write_all(&proof).await?;
    stream.flush().await?;
    let identity: [u8; IDENTITY_BYTES] = read_array(stream).await?;
    let proof: Proof = read_array(stream).await?;
    verify(&proof, &compute_proof(key, Role::Initiator, &peer_nonce, &own_nonce, &identity))?;
    Ok(decode_hello(&identity))
}

type Nonce = [u8; NONCE_BYTES];
type Proof = [u8; blake3::OUT_LEN];

/// Role of the side that computes a proof. The role is hashed, so that a proof cannot be
/// reflected back to the side that sent it.
#[derive(Clone, Copy, Debug)]
enum Role {
    Initiator,
    Responder,
}

fn compute_proof(
    key: &HandshakeKey,
    role: Role,
    initiator_nonce: &Nonce,
    responder_nonce: &Nonce,
    identity: &[u8],
) -> Proof {
    // These bytes are part of the protocol, so a change would lock out older instances.
    let role: &[u8] = match role {
        Role::Initiator => b"calling",
        Role::Responder => b"called ",
    };
    let mut hasher = blake3::Hasher::new_keyed(&key.0);
    for part in [role, initiator_nonce, responder_nonce, identity] {
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}

fn verify(proof: &Proof, expected: &Proof) -> Result<(), ConnectError> {
    if proof.ct_eq(expected).into() { Ok(()) } else { Err(ConnectError::WrongKey) }
}

fn new_nonce() -> io::Result<Nonce> {
    let mut nonce = [0; NONCE_BYTES];
    getrandom::fill(&mut nonce).map_err(io::Error::other)?;
    Ok(nonce)
}

async fn read_array<const N: usize>(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<[u8; N]> {
    let mut buf = [0; N];
    stream.read_exact(&mut buf).await?;
    Ok(buf)
}

fn encode_hello(hello: Hello) -> [u8; IDENTITY_BYTES] {
    let mut bytes = [0; IDENTITY_BYTES];
    bytes[..INSTANCE_BYTES].copy_from_slice(&hello.instance.0.to_le_bytes());
    bytes[INSTANCE_BYTES..].copy_from_slice(&hello.incarnation.0.to_le_bytes());
    bytes
}

fn decode_hello(bytes: &[u8; IDENTITY_BYTES]) -> Hello {
    let mut instance = [0; INSTANCE_BYTES];
    instance.copy_from_slice(&bytes[..INSTANCE_BYTES]);
    let mut incarnation = [0; INCARNATION_BYTES];
    incarnation.copy_from_slice(&bytes[INSTANCE_BYTES..]);
    Hello {
        instance: InstanceId(u32::from_le_bytes(instance)),
        incarnation: Incarnation(u64::from_le_bytes(incarnation)),
    }
}

const KEY_BYTES: usize = 32;
const NONCE_BYTES: usize = 16;
const INSTANCE_BYTES: usize = size_of::<u32>();
const INCARNATION_BYTES: usize = size_of::<u64>();
const IDENTITY_BYTES: usize = INSTANCE_BYTES + INCARNATION_BYTES;
/// BLAKE3 context string, which separates this key from others derived from the same secret.
const KEY_CONTEXT: &str = "sesamelock 2026 control port of fellow instances";
