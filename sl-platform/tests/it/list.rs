use std::{net::SocketAddr, time::Duration};

use sl_base::listing::{ListedInstance, ListedServer};
use stand_ins::platform::Options;
use tokio::time::Instant;

use crate::support::{platform, platform_with, within};

fn instance(name: &str) -> ListedInstance {
    ListedInstance {
        name: name.into(),
        data_centre: "dc".into(),
        control: SocketAddr::from(([127, 0, 0, 1], 1)),
        leaving: false,
    }
}

fn server(name: &str) -> ListedServer {
    ListedServer {
        name: name.into(),
        pool: "pool".into(),
        data_centre: "dc".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        slots: 4,
        leaving: false,
    }
}

#[tokio::test]
async fn changes_show_and_what_is_known_is_not_sent_again() {
    let (platform, client) = platform().await;
    platform.list_instance(instance("a"));
    platform.list_server(server("s"));
    let listing = client.list(0, within(1_000)).await.unwrap().unwrap();
    assert_eq!(listing.instances, [instance("a")]);
    assert_eq!(listing.servers, [server("s")]);
    let again = client.list(listing.version, within(1_000)).await.unwrap();
    assert_eq!(again, None);
    platform.set_leaving("s", true);
    platform.remove_instance("a");
    let later = client.list(listing.version, within(1_000)).await.unwrap().unwrap();
    assert!(later.instances.is_empty() && later.servers[0].leaving);
    assert!(later.version > listing.version);
}

#[tokio::test]
async fn the_list_lags() {
    let list_lag = Duration::from_millis(400);
    let (platform, client) = platform_with(Options { list_lag, ..Options::default() }).await;
    let begun = Instant::now();
    platform.list_instance(instance("a"));
    let limit = within(5_000);
    while client.list(0, limit).await.unwrap().is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(begun.elapsed() >= list_lag);
}
