use std::time::Duration;

use bytes::Bytes;
use sl_base::call::{Call, Reply, Version};
use sl_platform::{Client, Options};
use stand_ins::{Platform, platform};
use tokio::time::Instant;

pub async fn platform() -> (Platform, Client) {
    platform_with(platform::Options::default()).await
}

pub async fn platform_with(options: platform::Options) -> (Platform, Client) {
    let platform = Platform::start(options).await.unwrap();
    let client = Client::new(Options::new(platform.url())).unwrap();
    (platform, client)
}

pub fn within(millis: u64) -> Instant {
    Instant::now() + Duration::from_millis(millis)
}

pub async fn call(client: &Client, call: Call) -> Reply {
    client.call(&call, within(5_000)).await
}

pub fn put(key: &str, expect: Version, value: &'static str) -> Call {
    Call::Put { key: key.into(), expect, value: Bytes::from_static(value.as_bytes()) }
}

pub fn get(key: &str) -> Call {
    Call::Get { key: key.into() }
}

pub fn delete(key: &str, expect: Version) -> Call {
    Call::Delete { key: key.into(), expect }
}

pub fn watch(key: &str, seen: Version) -> Call {
    Call::Watch { key: key.into(), seen }
}

pub async fn create(client: &Client, key: &str, value: &'static str) -> Version {
    match call(client, put(key, Version::ABSENT, value)).await {
        Reply::Done { version } => version,
        other => panic!("{other:?}"),
    }
}

pub fn value(version: Version, value: &'static str) -> Reply {
    Reply::Value { version, value: Bytes::from_static(value.as_bytes()) }
}
