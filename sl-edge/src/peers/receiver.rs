//! Receives messages from peers within the time that they may take.

use std::{io, net::SocketAddr, time::Duration};

use sl_base::Timestamp;
use slog::debug;
use tokio::task::yield_now;

use super::{
    Gossip,
    datagram::{PAYLOAD_BYTES_MAX, Priority, stated_priority},
};

impl Gossip {
    /// Receives datagrams from peers until the daemon stops.
    pub(crate) async fn run_receiver(&self) {
        let mut buf = vec![0; PAYLOAD_BYTES_MAX * 2];
        loop {
            if let Err(e) = self.socket.readable().await {
                debug!(self.core.log, "failed to receive datagram"; "reason" => %e);
            }
            self.receive_turn(&mut buf);
            self.note_budget.borrow_mut().end_turn(self.core.now());
            // What callers have sent meanwhile is read first.
            yield_now().await;
            let paused_until = self.note_budget.borrow().paused_until();
            if let Some(until) = paused_until {
                self.core.clock.reached(until).await;
            }
        }
    }

    /// Receives the datagrams that have arrived, until callers get their turn. Those that there is no time
    /// for are taken from the socket all the same: in its full buffer the oldest would stay, which
    /// are worth least, and essential ones would be lost.
    fn receive_turn(&self, buf: &mut [u8]) {
        let mut now = self.core.now();
        let turn_ends_at = self.note_budget.borrow().turn_ends_at(now);
        while !turn_ends_at.is_due(now) {
            match self.socket.try_recv_from(buf) {
                Ok((read, from)) => now = self.receive(&buf[..read], from, now),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) => {
                    debug!(self.core.log, "failed to receive datagram"; "reason" => %e);
                    return;
                }
            }
        }
    }

    /// Handles one datagram, which was received from `started` on; returns the time afterwards.
    fn receive(&self, bytes: &[u8], from: SocketAddr, started: Timestamp) -> Timestamp {
        let has_time = self.note_budget.borrow_mut().has_time(started);
        let is_applied = has_time || stated_priority(bytes) == Some(Priority::Essential);
        if !is_applied {
            self.core.record_datagram_skipped();
        }
        // The instances that a relay serves do not depend on what it has time for itself.
        let is_relay = self.is_relay.get();
        let is_read = is_applied || is_relay;
        let messages = if is_read { self.read_datagram(bytes, from) } else { Vec::new() };
        let read_at = if is_relay { self.core.now() } else { started };
        if is_applied {
            messages.into_iter().for_each(|it| self.handle_message(read_at, it));
        }
        let ended = self.core.now();
        self.note_budget.borrow_mut().spend(elapsed(read_at, ended));
        self.core.record_note_time(elapsed(started, ended));
        ended
    }
}

fn elapsed(from: Timestamp, to: Timestamp) -> Duration {
    Duration::from_micros(to.micros_since(from))
}
