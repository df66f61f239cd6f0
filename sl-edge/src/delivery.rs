//! Writes responses to callers, which may pause while they read. See docs/design/slow-readers.md.

use bytes::Buf;
use sl_base::{Millis, Timestamp};
use sl_http::Conn;
use strum::IntoStaticStr;

use crate::{clock::Clock, response_memory::ResponseShare};

/// Why a caller did not get the rest of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum DeliveryError {
    /// The caller closed or reset its connection.
    CallerClosed,
    /// The caller's host acknowledges nothing any more.
    HostGone,
    /// The caller did not read the response by its deadline.
    NotRead,
    /// The caller paused, and others needed the memory.
    MemoryNeeded,
}

/// The shortest time in which a caller may read a response, also one that is ready just before the
/// caller's deadline.
pub(crate) const READ_TIME_MIN: Millis = Millis(3_000);

/// How long a caller reads nothing before others may get the memory that its response takes.
pub(crate) const PAUSE_TOLERANCE: Millis = Millis(3_000);

/// Why `conn`, a caller's connection, has failed.
pub(crate) fn connection_error(conn: &Conn) -> DeliveryError {
    match conn.is_host_gone() {
        true => DeliveryError::HostGone,
        false => DeliveryError::CallerClosed,
    }
}

/// Writes all of `bytes`, for which `memory` is reserved, to `caller`. Its deadline is `deadline`, but at
/// least [`READ_TIME_MIN`] from now.
///
/// # Errors
///
/// If the caller does not get all bytes. The connection can carry nothing else then.
pub(crate) async fn deliver(
    clock: Clock,
    caller: &mut Conn,
    deadline: Timestamp,
    memory: &ResponseShare,
    mut bytes: impl Buf,
) -> Result<(), DeliveryError> {
    let deadline = deadline.max(clock.now().after(READ_TIME_MIN));
    let mut paused_at = clock.now().after(PAUSE_TOLERANCE);
    while bytes.has_remaining() {
        tokio::select! {
            biased;
            written = caller.write_some(&mut bytes, 0) => {
                written.map_err(|_| connection_error(caller))?;
                memory.set_paused(false);
                paused_at = clock.now().after(PAUSE_TOLERANCE);
            }
            () = memory.evicted() => return Err(DeliveryError::MemoryNeeded),
            () = clock.reached(deadline) => return Err(DeliveryError::NotRead),
            () = clock.reached(paused_at) => {
                memory.set_paused(true);
                paused_at = Timestamp::NEVER;
            }
        }
    }
    memory.set_paused(false);
    Ok(())
}
