//! The process is gone before the platform kills it, whatever else is going on.

use stand_ins::store;

use super::*;

/// A request to a port.
const PROBE: &[u8] = b"GET /live HTTP/1.1\r\nHost: probe\r\n\r\n";

/// What a client does with its connection to a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Use {
    /// Sends nothing.
    Unused,
    /// Sends a request and keeps the connection.
    Kept,
    /// Sends a part of a request.
    Half,
    /// Sends one request after the other.
    Polling,
}

/// Opens a connection to a port and uses it until it is closed.
async fn connect(address: SocketAddr, usage: Use) {
    let mut client = Caller::connect(address).await.unwrap();
    match usage {
        Use::Unused => {}
        Use::Half => client.send(&PROBE[..PROBE.len() / 2]).await.unwrap(),
        Use::Kept => {
            client.send(PROBE).await.unwrap();
            client.read_response("GET").await.unwrap();
        }
        Use::Polling => {
            while client.send(PROBE).await.is_ok() && client.read_response("GET").await.is_ok() {
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
    client.closed().await;
}

// Guards against a process that the platform kills because its ports wait for their clients.
#[rstest]
#[case::that_are_unused(Use::Unused)]
#[case::that_are_kept(Use::Kept)]
#[case::with_half_a_request(Use::Half)]
#[case::that_are_polled(Use::Polling)]
#[tokio::test(flavor = "multi_thread")]
async fn the_process_exits_in_time_beside_open_connections_to_its_ports(#[case] usage: Use) {
    let (mut fleet, _streaming) = fleet_with_endless_stream().await;
    let ports = [fleet.instances[0].metrics, fleet.instances[0].operator];
    let clients = ports.map(|it| tokio::spawn(connect(it, usage)));
    let stopped_at = stop(&fleet);
    assert_exits_after(&mut fleet, stopped_at, STOP_WITHIN).await;
    futures::future::try_join_all(clients).await.unwrap();
}

// Guards against a process that waits for the store when it has nothing else to do.
#[tokio::test(flavor = "multi_thread")]
async fn the_process_exits_in_time_while_the_store_is_silent() {
    let (mut fleet, _streaming) = fleet_with_endless_stream().await;
    fleet.store.set_fault(store::Fault::Silent);
    let stopped_at = stop(&fleet);
    assert_exits_after(&mut fleet, stopped_at, STOP_WITHIN).await;
}
