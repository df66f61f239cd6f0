use std::time::Duration;

use sl_http::Conn;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Thousands of callers may keep connections that they do not use.
#[tokio::test]
async fn a_connection_that_waits_takes_no_buffer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut there = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let mut conn = Conn::new(listener.accept().await.unwrap().0);
    timeout(Duration::from_millis(20), conn.fill()).await.unwrap_err();
    assert_eq!(conn.buffered().capacity(), 0);

    there.write_all(b"bytes").await.unwrap();
    assert_eq!(conn.fill().await.unwrap(), 5);
    conn.release_buffer();
    assert_eq!(&conn.buffered()[..], b"bytes");
    conn.buffered().clear();
    conn.release_buffer();
    assert_eq!(conn.buffered().capacity(), 0);
}
