//! Peers that pause are not taken for peers whose host is gone.

use std::time::{Duration, Instant};

use rstest::rstest;
use sl_http::{CHECK_INTERVAL, Conn, HOST_TIMEOUT, PeerMonitor};
use socket2::{SockFilter, SockRef};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::sleep,
};

/// Bytes of a receive buffer that holds less than [`WRITTEN`].
const SMALL_BUFFER: u32 = 2_304;

const WRITTEN: usize = 4_800;

/// A return instruction of the classic packet filter, whose value is the number of bytes to keep.
const RETURN: u16 = 0x06;

/// The longest time from the loss of a host until a probe shows it, and the checks in between.
const SLACK: Duration = Duration::from_millis(1_600);

/// A peer that reads nothing, and the monitored connection to it, on which some bytes were written.
async fn paused_peer(monitor: &PeerMonitor) -> (TcpStream, Conn) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SMALL_BUFFER).unwrap();
    let peer = socket.connect(listener.local_addr().unwrap()).await.unwrap();
    let mut conn = Conn::monitored(listener.accept().await.unwrap().0, monitor);
    conn.write(&[b'a'; WRITTEN]).await.unwrap();
    (peer, conn)
}

/// Checks for `span`, or until a host is gone; the time that this took.
async fn check_for(monitor: &PeerMonitor, span: Duration) -> Option<Duration> {
    let started_at = Instant::now();
    while started_at.elapsed() < span {
        if monitor.check(Instant::now()) > 0 {
            return Some(started_at.elapsed());
        }
        sleep(CHECK_INTERVAL / 2).await;
    }
    None
}

// Guards against a peer that is cut off although it answers each probe, and against one that is kept although
// its host is gone, at once or after a pause so long that probes are far apart.
#[rstest]
#[case::at_once(Duration::ZERO)]
#[case::after_a_pause(Duration::from_secs(7))]
#[tokio::test]
async fn only_a_peer_whose_host_is_gone_is_cut_off(#[case] pause: Duration) {
    let monitor = PeerMonitor::default();
    let (peer, conn) = paused_peer(&monitor).await;
    assert_eq!(check_for(&monitor, pause).await, None);
    assert!(!conn.is_host_gone());
    SockRef::from(&peer).attach_filter(&[SockFilter::new(RETURN, 0, 0, 0)]).unwrap();
    let took = check_for(&monitor, HOST_TIMEOUT * 3).await.unwrap();
    assert!(took < HOST_TIMEOUT + SLACK, "{took:?}");
    assert!(conn.is_host_gone() && conn.is_closed_by_peer());
}

// Guards against a reader that takes the end of a connection which the monitor has shut down for an orderly one:
// a response without a length would look whole.
#[tokio::test]
async fn the_end_of_a_connection_whose_host_is_gone_is_no_orderly_end() {
    let monitor = PeerMonitor::default();
    let (peer, mut conn) = paused_peer(&monitor).await;
    SockRef::from(&peer).attach_filter(&[SockFilter::new(RETURN, 0, 0, 0)]).unwrap();
    check_for(&monitor, HOST_TIMEOUT * 3).await.unwrap();
    let end = conn.fill().await;
    assert!(end.is_err(), "{end:?}");
}

// Guards against a table of connections that grows with each response.
#[tokio::test]
async fn a_peer_that_has_read_everything_is_no_longer_watched() {
    let monitor = PeerMonitor::default();
    let (peer, _conn) = paused_peer(&monitor).await;
    assert_eq!(monitor.len(), 1);
    let mut buf = [0; WRITTEN];
    let mut peer = Conn::new(peer);
    while peer.buffered().len() < buf.len() {
        peer.fill().await.unwrap();
    }
    buf.copy_from_slice(peer.buffered());
    check_for(&monitor, HOST_TIMEOUT).await;
    assert!(monitor.is_empty());
}
