use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use rstest::rstest;
use sl_peer::{Counters, Silent};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::bed::{ME, PEER, Relay, links, listen, running};

#[tokio::test]
async fn messages_arrive_with_who_sent_them() {
    let counters = Counters::default();
    let (peer, server) = listen("secret", &counters).await;
    let links = links("secret", &counters);
    links
        .deliver(PEER, server.address, running(3))
        .await
        .unwrap();
    assert_eq!(*peer.got.lock().unwrap(), [(ME, running(3))]);
    let status = links.status(PEER, server.address).await.unwrap();
    assert_eq!(status.name, "peer");
    let burn = links.burn(PEER, server.address).await.unwrap();
    assert_eq!(burn.instance, "peer");
}

#[rstest]
#[case::another_key("another")]
#[case::no_key("")]
#[tokio::test]
async fn a_stranger_is_not_admitted(#[case] secret: &str) {
    let counters = Counters::default();
    let (peer, server) = listen("secret", &counters).await;
    let links = links(secret, &counters);
    let answer = links.deliver(PEER, server.address, running(3)).await;
    assert_eq!(answer, Err(Silent));
    assert!(peer.got.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_repeated_handshake_is_not_admitted() {
    let counters = Counters::default();
    let (_, server) = listen("secret", &counters).await;
    let record = record_handshake(&server).await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    stream.write_all(&record).await.unwrap();
    let mut answer = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut answer));
    let _ = read.await.expect("the connection is closed");
    assert_eq!(answer.len(), 48, "nonce and proof, and nothing after them");
}

/// What a fellow instance says from its first byte on, recorded by a relay.
async fn record_handshake(server: &sl_peer::Server) -> Vec<u8> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let target = server.address;
    let recorded = tokio::spawn(async move {
        let (mut from, _) = listener.accept().await.unwrap();
        let mut to = TcpStream::connect(target).await.unwrap();
        let mut said = [0; 60];
        from.read_exact(&mut said[..16]).await.unwrap();
        to.write_all(&said[..16]).await.unwrap();
        let mut answer = [0; 48];
        to.read_exact(&mut answer).await.unwrap();
        from.write_all(&answer).await.unwrap();
        from.read_exact(&mut said[16..]).await.unwrap();
        said.to_vec()
    });
    let links = links("secret", &Counters::default());
    let call = tokio::spawn(async move { links.deliver(PEER, address, running(1)).await });
    let said = recorded.await.unwrap();
    call.abort();
    said
}

#[tokio::test]
async fn a_link_that_fell_silent_is_replaced_before_the_peer_is_blamed() {
    let counters = Counters::default();
    let (peer, server) = listen("secret", &counters).await;
    let relay = Relay::start(server.address).await;
    let links = links("secret", &counters);
    links
        .deliver(PEER, relay.address, running(1))
        .await
        .unwrap();
    relay.silence_standing();
    links
        .deliver(PEER, relay.address, running(2))
        .await
        .unwrap();
    assert_eq!(relay.accepted.load(Ordering::Relaxed), 2);
    let last = peer.got.lock().unwrap().last().cloned();
    assert_eq!(last, Some((ME, running(2))));
}

#[tokio::test]
async fn a_peer_that_is_gone_is_said_to_be_silent_in_time() {
    let counters = Counters::default();
    let (_, server) = listen("secret", &counters).await;
    let relay = Relay::start(server.address).await;
    let links = links("secret", &counters);
    links
        .deliver(PEER, relay.address, running(1))
        .await
        .unwrap();
    relay.silence_all();
    let start = Instant::now();
    let answer = links.deliver(PEER, relay.address, running(2)).await;
    assert_eq!(answer, Err(Silent));
    assert!(start.elapsed() < Duration::from_secs(2));
}

#[tokio::test]
async fn a_peer_that_is_too_slow_is_said_to_be_silent() {
    let counters = Counters::default();
    let (peer, server) = listen("secret", &counters).await;
    peer.slow_millis.store(2_000, Ordering::Relaxed);
    let links = links("secret", &counters);
    let answer = links.deliver(PEER, server.address, running(1)).await;
    assert_eq!(answer, Err(Silent));
    peer.slow_millis.store(0, Ordering::Relaxed);
    let answer = links.deliver(PEER, server.address, running(2)).await;
    assert_eq!(answer, Ok(()));
}

#[tokio::test]
async fn a_peer_that_came_back_elsewhere_is_found() {
    let counters = Counters::default();
    let (_, first) = listen("secret", &counters).await;
    let links = links("secret", &counters);
    links
        .deliver(PEER, first.address, running(1))
        .await
        .unwrap();
    drop(first);
    let (peer, second) = listen("secret", &counters).await;
    links
        .deliver(PEER, second.address, running(2))
        .await
        .unwrap();
    assert_eq!(*peer.got.lock().unwrap(), [(ME, running(2))]);
}

#[tokio::test]
async fn an_idle_connection_is_closed_and_made_anew() {
    let counters = Counters::default();
    let (_, server) = listen("secret", &counters).await;
    let links = links("secret", &counters);
    links
        .deliver(PEER, server.address, running(1))
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_millis(900)).await;
    let before = counters.read().frames_received;
    links
        .deliver(PEER, server.address, running(2))
        .await
        .unwrap();
    assert!(counters.read().frames_received > before);
}
