use std::{net::SocketAddr, time::Duration};

use stand_ins::{Relay, RelayFault};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, timeout},
};

use crate::support::{http, until};

async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut rx, mut tx) = socket.split();
                tokio::io::copy(&mut rx, &mut tx).await
            });
        }
    });
    address
}

async fn relay() -> Relay {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    Relay::start(listen, echo().await).await.unwrap()
}

async fn answers(socket: &mut TcpStream, within: Duration) -> bool {
    let mut buf = [0; 4];
    if socket.write_all(b"ping").await.is_err() {
        return false;
    }
    let read = timeout(within, socket.read_exact(&mut buf)).await;
    read.is_ok_and(|it| it.is_ok())
}

const SOON: Duration = Duration::from_secs(5);
const A_WHILE: Duration = Duration::from_millis(200);

#[tokio::test]
async fn refuses_and_takes_connections_again() {
    let relay = relay().await;
    let mut old = TcpStream::connect(relay.address()).await.unwrap();
    assert!(answers(&mut old, SOON).await);
    for _ in 0..3 {
        relay.refuse(true);
        relay.settled().await;
        assert!(TcpStream::connect(relay.address()).await.is_err());
        assert!(answers(&mut old, SOON).await, "what stands goes on");
        relay.refuse(false);
        relay.settled().await;
        let mut new = TcpStream::connect(relay.address()).await.unwrap();
        assert!(answers(&mut new, SOON).await);
    }
}

#[tokio::test]
async fn cuts_what_stands() {
    let relay = relay().await;
    let mut old = TcpStream::connect(relay.address()).await.unwrap();
    assert!(answers(&mut old, SOON).await);
    relay.cut();
    let mut buf = [0; 1];
    let end = timeout(SOON, old.read(&mut buf)).await.unwrap();
    assert!(matches!(end, Ok(0) | Err(_)));
    until("it is forgotten", async || relay.connections() == 0).await;
    let mut new = TcpStream::connect(relay.address()).await.unwrap();
    assert!(answers(&mut new, SOON).await);
}

#[tokio::test]
async fn falls_silent_on_what_stands_or_on_all() {
    let relay = relay().await;
    let mut old = TcpStream::connect(relay.address()).await.unwrap();
    assert!(answers(&mut old, SOON).await);
    relay.silence_old();
    assert!(!answers(&mut old, A_WHILE).await);
    let mut new = TcpStream::connect(relay.address()).await.unwrap();
    assert!(answers(&mut new, SOON).await);
    relay.silence();
    assert!(!answers(&mut new, A_WHILE).await);
    let mut newer = TcpStream::connect(relay.address()).await.unwrap();
    assert!(!answers(&mut newer, A_WHILE).await);
    relay.heal();
    // What was held back comes first.
    assert!(answers(&mut old, SOON).await);
}

#[tokio::test]
async fn delays_one_way_over_an_admin_call() {
    let relay = relay().await;
    let admin = relay.serve_admin().await.unwrap();
    let fault = RelayFault { up_ms: 150, ..RelayFault::default() };
    let url = format!("http://{}/admin/fault", admin.address());
    let set = http().post(url).json(&fault).send().await.unwrap();
    assert!(set.status().is_success());
    let mut socket = TcpStream::connect(relay.address()).await.unwrap();
    let begun = Instant::now();
    assert!(answers(&mut socket, SOON).await);
    assert!(begun.elapsed() >= Duration::from_millis(150));
    assert!(begun.elapsed() < Duration::from_millis(300), "one way only");
}
