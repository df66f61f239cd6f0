//! A planned stop: no new work, everything under way seen through, then leave.

use sl_base::{Code, Millis, Timestamp};

use crate::{
    Effect, State,
    attempt::honest,
    event::Arrival,
    request::{Caller, Phase},
    state::Stop,
};

/// How long the last messages have to leave.
const FAREWELL: Millis = Millis(200);

impl State {
    pub(crate) fn stop_by(&mut self, now: Timestamp, cut_by: Timestamp) {
        match self.stop {
            Stop::No => {
                let refuse_at = now.after(self.options.unready_grace).min(cut_by);
                self.stop = Stop::Unready { refuse_at, cut_by };
                self.members.leave();
                self.slots.drain(now);
                self.tell_members(now);
                self.note("planned stop", self.options.name.clone());
            }
            Stop::Unready { refuse_at, cut_by: before } => {
                self.stop = Stop::Unready { refuse_at, cut_by: cut_by.min(before) };
            }
            Stop::Leaving { .. } | Stop::Done => {}
        }
    }

    /// Whether new work is taken: until the balancer had its time to notice a stop.
    pub(crate) fn takes_new_work(&self, now: Timestamp) -> bool {
        match self.stop {
            Stop::No => true,
            Stop::Unready { refuse_at, .. } => !refuse_at.is_due(now),
            Stop::Leaving { .. } | Stop::Done => false,
        }
    }

    pub(crate) fn stop_due(&self, now: Timestamp) -> Timestamp {
        match self.stop {
            Stop::No | Stop::Done => Timestamp::NEVER,
            Stop::Unready { refuse_at, .. } if !refuse_at.is_due(now) => refuse_at,
            Stop::Unready { cut_by, .. } => cut_by,
            Stop::Leaving { exit_at } => exit_at,
        }
    }

    pub(crate) fn see_stop_through(&mut self, now: Timestamp) {
        match self.stop {
            Stop::Unready { cut_by, .. } if cut_by.is_due(now) => {
                self.cut_all();
                self.stop = Stop::Leaving { exit_at: now };
            }
            Stop::Unready { refuse_at, .. } if refuse_at.is_due(now) && self.is_done() => {
                self.stop = Stop::Leaving { exit_at: now.after(FAREWELL) };
            }
            Stop::Leaving { exit_at } if exit_at.is_due(now) => {
                self.stop = Stop::Done;
                self.effects.push(Effect::Exit);
            }
            _ => {}
        }
    }

    fn is_done(&self) -> bool {
        self.requests.is_empty() && self.claims.waiting() == 0
    }

    fn cut_all(&mut self) {
        let open: Vec<(Arrival, Code)> = self
            .requests
            .iter()
            .filter(|it| it.caller == Caller::Waiting)
            .map(|it| match it.phase {
                Phase::Running(_) => (it.arrival, Code::Stopped),
                _ => (it.arrival, honest(Code::Draining, it)),
            })
            .collect();
        for (arrival, code) in open {
            self.refuse(&arrival, code);
        }
    }
}
