//! Receives messages from peers within the processor time that they may take.

use std::{io, net::SocketAddr, time::Duration};

use slog::debug;
use tokio::task::yield_now;

use super::{
    Gossip,
    datagram::{PAYLOAD_BYTES_MAX, Priority, stated_priority},
};

/// Processor time after which callers get their turn, while datagrams are waiting. An instance of
/// 0.09 cores takes 6 ms for it, a tenth of the lateness from which it sheds connections.
const TURN_MAX: Duration = Duration::from_micros(500);

impl Gossip {
    /// Receives datagrams from peers until the daemon stops.
    pub(crate) async fn run_receiver(&self) {
        let mut buf = vec![0; PAYLOAD_BYTES_MAX * 2];
        loop {
            if let Err(e) = self.socket.readable().await {
                debug!(self.core.log, "failed to receive datagram"; "reason" => %e);
            }
            self.receive_turn(&mut buf);
            // What callers have sent meanwhile is read first.
            yield_now().await;
            let paused_until = self.note_budget.borrow().paused_until();
            if let Some(until) = paused_until {
                self.core.clock.reached(until).await;
            }
        }
    }

    /// Receives the datagrams that have arrived, for [`TURN_MAX`] at most. Those that there is no time
    /// for are taken from the socket all the same: in its full buffer the oldest would stay, which
    /// are worth least, and essential ones would be lost.
    fn receive_turn(&self, buf: &mut [u8]) {
        let mut thread_time = self.core.clock.thread_time();
        let turn_end = thread_time + TURN_MAX;
        while thread_time < turn_end {
            match self.socket.try_recv_from(buf) {
                Ok((read, from)) => {
                    thread_time = self.receive(&buf[..read], from, thread_time);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) => {
                    debug!(self.core.log, "failed to receive datagram"; "reason" => %e);
                    return;
                }
            }
        }
    }

    /// Handles one datagram. `started` is the thread's processor time before the datagram was received;
    /// returns the processor time afterwards.
    fn receive(&self, bytes: &[u8], from: SocketAddr, started: Duration) -> Duration {
        let clock = self.core.clock;
        let has_time = self.note_budget.borrow_mut().has_time(clock.now(), started);
        let is_applied = has_time || stated_priority(bytes) == Some(Priority::Essential);
        if !is_applied {
            self.core.record_datagram_skipped();
        }
        // The instances that a relay serves do not depend on what it has time for itself.
        let is_relay = self.is_relay.get();
        let is_read = is_applied || is_relay;
        let messages = if is_read { self.read_datagram(bytes, from) } else { Vec::new() };
        let read_at = if is_relay { clock.thread_time() } else { started };
        if is_applied {
            let now = clock.now();
            messages.into_iter().for_each(|it| self.handle_message(now, it));
        }
        let ended = clock.thread_time();
        self.note_budget.borrow_mut().spend(ended.saturating_sub(read_at));
        self.core.record_note_time(ended.saturating_sub(started));
        ended
    }
}
