//! Fetches from model engines the list of prompt parts in their KV caches.

use std::{net::SocketAddr, rc::Rc};

use sl_base::Millis;
use sl_http::Headers;
use sl_route::{Event, PromptPart, ServerKey};
use slog::debug;
use tokio::{sync::mpsc, time::Instant};

use crate::{
    core::Core,
    wire::{self, Call, CallError},
};

/// The timeout of a request for an engine's list.
const LIST_TIMEOUT: Millis = Millis(1_000);

/// Bytes of the largest list that is accepted: room for tens of thousands of parts.
const LIST_BYTES_MAX: usize = 2 << 20;

const STATUS_OK: u16 = 200;

/// Lists the cache of each engine received over `engines`, one engine at a time.
pub(crate) async fn list_caches(
    core: Rc<Core>,
    mut engines: mpsc::UnboundedReceiver<(ServerKey, SocketAddr)>,
) {
    while let Some((server, address)) = engines.recv().await {
        // The data centre may have been evacuated while other engines were asked.
        if core.with_state(|it| it.is_evacuated(server)) {
            core.step(Event::CacheListFailed { server });
            continue;
        }
        let listed = fetch_list(address).await;
        if let Ok(it) = &listed {
            core.report_server_state(server, &it.headers);
        }
        match listed {
            Ok(CacheList { parts, .. }) => core.step(Event::CacheListed { server, parts }),
            Err(e) => {
                debug!(core.log, "failed to list engine cache";
                    "address" => %address, "reason" => %e);
                core.step(Event::CacheListFailed { server });
            }
        }
    }
}

/// Why an engine's cache could not be listed.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// The request got no valid response.
    #[error("{0}")]
    Call(#[from] CallError),
    /// The engine responded with an error status.
    #[error("the engine responded with status {0}")]
    Status(u16),
    /// The body of the response could not be decoded.
    #[error("{0}")]
    Malformed(#[from] platform::Malformed),
}

/// An engine's response with the list of its cached parts.
struct CacheList {
    parts: Vec<PromptPart>,
    headers: Headers,
}

async fn fetch_list(address: SocketAddr) -> Result<CacheList, Error> {
    let call = Call {
        method: "GET",
        target: platform::engine::LIST_CACHE_PATH,
        host: address,
        body: &[],
        body_bytes_max: LIST_BYTES_MAX,
        deadline: Instant::now() + LIST_TIMEOUT.into(),
    };
    let mut conn = wire::connect(call).await?;
    let response = wire::call(&mut conn, call).await?;
    if response.status != STATUS_OK {
        return Err(Error::Status(response.status));
    }
    let parts = platform::engine::parse_cached_parts(&response.body)?;
    Ok(CacheList { parts, headers: response.headers })
}
