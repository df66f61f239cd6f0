//! Notes to and from peers.

use sl_base::{Millis, Timestamp};

use super::State;
use crate::{
    Notes,
    crash_detector::Loss,
    note::{AttemptKey, Note},
};

/// Notes that may wait to be sent; further notes are dropped.
const OUTBOX_CAPACITY: usize = 4_096;

/// For this long after its deadline an attempt may run on at an instance that is late, or the note of
/// its end may be on its way.
const END_DELAY_MAX: Millis = Millis(1_000);

impl State {
    pub(super) fn queue_note(&mut self, note: Note) {
        // Notes only refine estimates, so dropping one when the outbox is full is safe.
        if self.outbox.len() < OUTBOX_CAPACITY {
            self.outbox.push(note);
        }
    }

    /// Queues a note once more at the next tick, for peers that miss the first one.
    pub(super) fn repeat_note(&mut self, note: Note) {
        if self.repeated_notes.len() < OUTBOX_CAPACITY {
            self.repeated_notes.push(note);
        }
    }

    pub(super) fn on_notes_received(&mut self, now: Timestamp, from: u32, notes: Notes) {
        self.peers.insert(from, now);
        self.contact_at = self.contact_at.max(now);
        for note in notes.notes {
            self.apply_note(now, from, note);
        }
    }

    /// When an attempt has ended that a peer has just sent. Without an expiry, an attempt would be
    /// counted on its server for as long as the peer lives if the note of its end is lost.
    fn peer_attempt_expires_at(&self, now: Timestamp) -> Timestamp {
        let longest = self.document.longest_timeout();
        longest.map_or(Timestamp::NEVER, |it| now.after(it).after(END_DELAY_MAX))
    }

    fn apply_note(&mut self, now: Timestamp, from: u32, note: Note) {
        let attempt_key = |attempt| AttemptKey { instance: from, attempt };
        match note {
            Note::AttemptSent { server, attempt, prefill_tokens, charge, parts, fetch, stream } => {
                if let Some(stream) = stream {
                    self.origins.record(stream, server);
                }
                let expires_at = self.peer_attempt_expires_at(now);
                self.record_transfer(now, server, fetch);
                if let Some((team, tokens)) = charge {
                    self.shares.record_granted(now, team, tokens);
                }
                if let Some(server) = self.servers.get_mut(&server) {
                    server.record_sent(now, attempt_key(attempt), prefill_tokens, expires_at);
                    server.breaker.record_sent(now);
                    if let Some(limit) = &mut server.send_limit {
                        limit.record_send(now);
                    }
                    server.record_cached_parts(now, &parts);
                }
            }
            Note::ResponseStarted { server, attempt } => {
                self.crash_detector.record_alive(now, server);
                if let Some(server) = self.servers.get_mut(&server) {
                    server.record_response_start(now, attempt_key(attempt));
                    server.breaker.record_response(now);
                }
            }
            Note::AttemptEnded { server, attempt, event_interval_micros, refunded } => {
                if let Some((team, tokens)) = refunded {
                    self.shares.record_refund(now, team, tokens);
                }
                // Only an attempt that the server completed has an interval.
                if event_interval_micros.is_some() {
                    self.crash_detector.record_alive(now, server);
                }
                if let Some(server) = self.servers.get_mut(&server) {
                    let attempt = attempt_key(attempt);
                    server.record_event_interval(now, attempt, event_interval_micros);
                    server.record_end(now, attempt);
                }
            }
            Note::TokensRequested { team, tokens } => {
                self.shares.record_requested(now, team, tokens);
                self.demand.record_peer(now, team, tokens);
            }
            Note::ServerAvoided { server, for_ms } => {
                if let Some(server) = self.servers.get_mut(&server) {
                    server.health.extend_avoidance(now.after(Millis(for_ms.into())));
                }
            }
            Note::ConnectionRefused { server, refusals } => {
                self.on_peer_refused(now, server, refusals);
            }
            Note::CacheListed { server, parts } => self.merge_peer_cache(now, server, &parts),
            Note::ServerDraining { server } => self.mark_draining(now, server, true),
            Note::AttemptLost { server, attempt, phase, request, parts } => {
                let attempt = attempt_key(attempt);
                let loss = Loss { attempt, phase, request, parts, is_own: false };
                self.crash_detector.record_loss(now, server, loss);
            }
            Note::CausesServed { causes, is_complete } => {
                self.on_causes_served(now, &causes, is_complete);
            }
            Note::Barred(bar) => self.on_bar(now, bar),
            Note::ServerLimit { server, per_second: Some(per_second) } => {
                self.on_limit_named(now, server, per_second, true);
            }
            Note::ServerLimit { server, per_second: None } => self.end_limit(server, true),
            Note::ServerCold { server, for_ms } => self.on_peer_cold(now, server, for_ms),
            Note::StreamBegan { stream, server } => self.origins.record(stream, server),
        }
    }
}
