//! Datagrams that come faster than an instance can afford to read them.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::testbed::{call, fleet, metrics};

const FLOOD: Duration = Duration::from_secs(4);

/// Fraction of the time that an instance spends on datagrams at most: two fifths, what was saved before, and
/// some for the datagrams of a last turn.
const NOTE_FRACTION_MAX: f64 = 0.5;

/// Threads that send, more than one instance can keep up with.
const SENDERS: usize = 3;

/// Guards against messages of peers that take the processor of an instance away from its callers, whatever
/// they cost together.
#[tokio::test(flavor = "multi_thread")]
async fn a_flood_of_datagrams_leaves_the_processor_to_callers() {
    let fleet = fleet(1).await;
    let notes_address = fleet.instances[0].control;

    let is_over = Arc::new(AtomicBool::new(false));
    let senders: Vec<_> = (0..SENDERS).map(|_| spawn_sender(notes_address, &is_over)).collect();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let (before, began_at) = (note_seconds(&metrics(&fleet).await), Instant::now());
    let mut answered = 0;
    while began_at.elapsed() < FLOOD {
        let mut caller = fleet.caller(0).await.unwrap();
        let id = format!("a-{answered}");
        assert_eq!(caller.call(&call("GET", "/status/7", &id)).await.unwrap().status(), 200);
        answered += 1;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let spent = note_seconds(&metrics(&fleet).await) - before;
    // The metrics are as of the last full second.
    let passed = began_at.elapsed().as_secs_f64() + 1.0;
    is_over.store(true, Ordering::Relaxed);
    senders.into_iter().for_each(|it| it.join().unwrap());
    let fraction = spent / passed;
    assert!(fraction < NOTE_FRACTION_MAX, "{fraction} of the time, {answered} answered");
    assert!(answered > 20, "{answered}");
}

fn spawn_sender(to: SocketAddr, is_over: &Arc<AtomicBool>) -> JoinHandle<()> {
    let is_over = is_over.clone();
    thread::spawn(move || {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        while !is_over.load(Ordering::Relaxed) {
            socket.send_to(&[1; 1_300], to).unwrap();
        }
    })
}

fn note_seconds(metrics: &str) -> f64 {
    let value = metrics.lines().find_map(|it| it.strip_prefix("sesamelock_note_seconds_total "));
    value.unwrap().parse().unwrap()
}
