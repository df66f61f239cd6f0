use std::{io::Write, time::Duration};

use rstest::rstest;
use sl_http::{Conn, HeadError, RequestHead};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Callers may keep thousands of idle connections open, which must not cost buffer memory.
#[tokio::test]
async fn an_idle_connection_holds_no_buffer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let mut conn = Conn::new(listener.accept().await.unwrap().0);
    timeout(Duration::from_millis(20), conn.fill()).await.unwrap_err();
    assert_eq!(conn.buffered().capacity(), 0);

    peer.write_all(b"bytes").await.unwrap();
    assert_eq!(conn.fill().await.unwrap(), 5);
    conn.release_buffer();
    assert_eq!(&conn.buffered()[..], b"bytes");
    conn.buffered().clear();
    conn.release_buffer();
    assert_eq!(conn.buffered().capacity(), 0);
}

/// Guards against a limit that holds only for heads which arrive in several reads.
#[rstest]
#[case::at_the_limit(0, true)]
#[case::above_the_limit(1, false)]
#[tokio::test]
async fn a_complete_head_is_limited_however_it_arrives(#[case] excess: usize, #[case] fits: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let mut conn = Conn::new(listener.accept().await.unwrap().0);
    let head = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    let body = [b'x'; 100];
    peer.write_all(&[&head[..], &body].concat()).await.unwrap();
    let read = conn.read_head::<RequestHead>(head.len() - excess).await;
    assert_eq!(read.is_ok(), fits, "{read:?}");
    assert!(fits || matches!(read, Err(HeadError::TooLarge)));
}

/// Guards against a connection that is used again although bytes or the close have arrived since
/// the runtime last looked, which happens while a task of the same thread runs for long.
#[rstest]
#[case::bytes(b"x")]
#[case::close(b"")]
#[tokio::test]
async fn a_connection_is_not_idle_once_anything_has_arrived(#[case] bytes: &[u8]) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let mut conn = Conn::new(listener.accept().await.unwrap().0);
    timeout(Duration::from_millis(20), conn.fill()).await.unwrap_err();
    assert!(conn.is_idle());
    let mut peer = peer.into_std().unwrap();
    peer.write_all(bytes).unwrap();
    peer.shutdown(std::net::Shutdown::Write).unwrap();
    // Blocks the thread, so that the runtime sees no events.
    std::thread::sleep(Duration::from_millis(20));
    assert!(!conn.is_idle());
}

/// Guards against an orderly close that completes a message which ends with its connection.
#[rstest]
#[case::reset(&[true], true)]
#[case::closed(&[true, false], false)]
#[case::never_set(&[], false)]
#[tokio::test]
async fn a_connection_ends_in_order_unless_it_is_to_be_reset(
    #[case] settings: &[bool],
    #[case] is_reset: bool,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let mut conn = Conn::new(listener.accept().await.unwrap().0);
    settings.iter().for_each(|it| conn.set_reset_on_end(*it));
    conn.write(b"part").await.unwrap();
    let mut received = [0; 4];
    peer.read_exact(&mut received).await.unwrap();
    drop(conn);
    assert_eq!(peer.read(&mut received).await.is_err(), is_reset);
}
