//! Asks model engines what they keep.

use std::{net::SocketAddr, rc::Rc};

use sl_base::Millis;
use sl_route::{Event, ServerKey};
use slog::debug;
use tokio::{sync::mpsc, time::Instant};

use crate::{
    core::Core,
    wire::{self, Call, CallError},
};

/// How long an engine may take to answer.
const ANSWER_WITHIN: Millis = Millis(1_000);

/// The status of an answer.
const OK: u16 = 200;

/// Asks each engine that comes through `lists`, one after the other.
pub(crate) async fn list_caches(
    core: Rc<Core>,
    mut lists: mpsc::UnboundedReceiver<(ServerKey, SocketAddr)>,
) {
    while let Some((server, address)) = lists.recv().await {
        match kept(address).await {
            Ok(parts) => core.step(Event::CacheListed { server, parts }),
            Err(e) => {
                debug!(core.log, "cache not listed"; "address" => %address, "reason" => %e);
                core.step(Event::CacheListFailed { server });
            }
        }
    }
}

/// Why an engine's cache is not known.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// No answer came.
    #[error("{0}")]
    Call(#[from] CallError),
    /// The answer was a failure.
    #[error("status {0}")]
    Status(u16),
    /// The answer could not be understood.
    #[error("{0}")]
    Malformed(#[from] platform::Malformed),
}

async fn kept(address: SocketAddr) -> Result<Vec<sl_route::PromptPart>, Error> {
    let call = Call {
        method: "GET",
        target: platform::engine::LIST_CACHE_PATH,
        host: address,
        body: &[],
        answer_by: Instant::now() + ANSWER_WITHIN.into(),
    };
    let mut conn = wire::connect(call).await?;
    let reply = wire::call(&mut conn, call).await?;
    if reply.status != OK {
        return Err(Error::Status(reply.status));
    }
    Ok(platform::engine::parse_cached_parts(&reply.body)?)
}
