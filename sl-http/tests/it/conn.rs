use std::time::Duration;

use sl_http::Conn;
use tokio::{
    io::AsyncWriteExt,
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
