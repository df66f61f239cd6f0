//! Who may talk on the control port: both sides prove that they hold the fleet's key
//! before the first frame, and the calling side says who it is.
//!
//! The key itself never travels; each side answers the other's random nonce with a keyed
//! BLAKE3 hash. This keeps strangers out. It neither hides what is said nor protects it
//! from somebody who can rewrite packets on the way; docs/security.md says so, too.

use std::io;

use sl_base::{Incarnation, InstanceId};
use subtle::ConstantTimeEq;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The fleet's key, as derived from the secret in settings.
#[derive(Clone)]
pub struct HandshakeKey([u8; KEY_BYTES]);

impl std::fmt::Debug for HandshakeKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("HandshakeKey(..)")
    }
}

impl HandshakeKey {
    /// The key that all instances with the same `secret` share.
    pub fn derive(secret: &[u8]) -> HandshakeKey {
        HandshakeKey(blake3::derive_key(KEY_CONTEXT, secret))
    }
}

/// Who calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// The instance.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// Why no link came about.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The connection failed.
    #[error("the connection failed")]
    Io(#[from] io::Error),
    /// The other side does not hold the fleet's key.
    #[error("the other side does not hold the fleet's key")]
    WrongKey,
    /// The other side took too long.
    #[error("the other side took too long")]
    Timeout,
}

/// The calling side: nonce out; nonce and proof in; identity and proof out.
pub(crate) async fn call<S>(
    stream: &mut S,
    key: &HandshakeKey,
    hello: Hello,
) -> Result<(), ConnectError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let ours = nonce()?;
    stream.write_all(&ours).await?;
    let theirs = read(stream).await?;
    let proof: Proof = read(stream).await?;
    check(&proof, &prove(key, Side::Called, &ours, &theirs, &[]))?;
    let identity = identity(hello);
    let proof = prove(key, Side::Calling, &ours, &theirs, &identity);
    stream.write_all(&identity).await?;
    stream.write_all(&proof).await?;
    stream.flush().await?;
    Ok(())
}

/// The called side.
pub(crate) async fn answer<S>(stream: &mut S, key: &HandshakeKey) -> Result<Hello, ConnectError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let theirs: Nonce = read(stream).await?;
    let ours = nonce()?;
    stream.write_all(&ours).await?;
    let proof = prove(key, Side::Called, &theirs, &ours, &[]);
    stream.write_all(&proof).await?;
    stream.flush().await?;
    let identity: [u8; IDENTITY_BYTES] = read(stream).await?;
    let proof: Proof = read(stream).await?;
    check(&proof, &prove(key, Side::Calling, &theirs, &ours, &identity))?;
    Ok(hello(&identity))
}

type Nonce = [u8; NONCE_BYTES];
type Proof = [u8; blake3::OUT_LEN];

/// Which side proves: the two proofs differ, so that neither can be sent back as the other.
#[derive(Clone, Copy, Debug)]
enum Side {
    Calling,
    Called,
}

fn prove(
    key: &HandshakeKey,
    side: Side,
    calling: &Nonce,
    called: &Nonce,
    identity: &[u8],
) -> Proof {
    let side: &[u8] = match side {
        Side::Calling => b"calling",
        Side::Called => b"called ",
    };
    let mut hasher = blake3::Hasher::new_keyed(&key.0);
    for part in [side, calling, called, identity] {
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}

fn check(proof: &Proof, expected: &Proof) -> Result<(), ConnectError> {
    if proof.ct_eq(expected).into() { Ok(()) } else { Err(ConnectError::WrongKey) }
}

fn nonce() -> io::Result<Nonce> {
    let mut nonce = [0; NONCE_BYTES];
    getrandom::fill(&mut nonce).map_err(io::Error::other)?;
    Ok(nonce)
}

async fn read<const N: usize>(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<[u8; N]> {
    let mut buf = [0; N];
    stream.read_exact(&mut buf).await?;
    Ok(buf)
}

fn identity(hello: Hello) -> [u8; IDENTITY_BYTES] {
    let mut bytes = [0; IDENTITY_BYTES];
    bytes[..INSTANCE_BYTES].copy_from_slice(&hello.instance.0.to_le_bytes());
    bytes[INSTANCE_BYTES..].copy_from_slice(&hello.incarnation.0.to_le_bytes());
    bytes
}

fn hello(bytes: &[u8; IDENTITY_BYTES]) -> Hello {
    let mut from = [0; INSTANCE_BYTES];
    from.copy_from_slice(&bytes[..INSTANCE_BYTES]);
    let mut incarnation = [0; INCARNATION_BYTES];
    incarnation.copy_from_slice(&bytes[INSTANCE_BYTES..]);
    Hello {
        instance: InstanceId(u32::from_le_bytes(from)),
        incarnation: Incarnation(u64::from_le_bytes(incarnation)),
    }
}

const KEY_BYTES: usize = 32;
const NONCE_BYTES: usize = 16;
const INSTANCE_BYTES: usize = size_of::<u32>();
const INCARNATION_BYTES: usize = size_of::<u64>();
const IDENTITY_BYTES: usize = INSTANCE_BYTES + INCARNATION_BYTES;
/// Sets this use of the secret apart from any other.
const KEY_CONTEXT: &str = "sesamelock 2026 control port of fellow instances";
