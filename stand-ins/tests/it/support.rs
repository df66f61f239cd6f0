use std::{net::SocketAddr, time::Duration};

use stand_ins::{Backends, Kind, Spec};

pub async fn engine(slots: u32, tokens_per_second: u32, report_lag_ms: u64) -> Backends {
    let kind =
        Kind::Engine { tokens_per_second, prompt_tokens_per_second: 1_000_000, report_lag_ms };
    Backends::start(vec![spec("one", slots, kind)], 1).await.unwrap()
}

pub fn spec(name: &str, slots: u32, kind: Kind) -> Spec {
    Spec {
        name: name.into(),
        pool: "pool".into(),
        data_centre: "dc".into(),
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        slots,
        kind,
    }
}

pub fn http() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .pool_max_idle_per_host(0)
        .timeout(Duration::from_secs(10))
        .build()
        .unwrap()
}

pub fn chat(address: SocketAddr, tokens: u64) -> reqwest::RequestBuilder {
    http()
        .post(format!("http://{address}/v1/chat/completions"))
        .body(format!(r#"{{"max_tokens":1000000,"actual_tokens":{tokens}}}"#))
}

/// Waits for what must come about, and fails where it does not within ten seconds.
pub async fn until(what: &str, holds: impl AsyncFn() -> bool) {
    let met = async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let limit = Duration::from_secs(10);
    assert!(tokio::time::timeout(limit, met).await.is_ok(), "{what}");
}
