//! A planned stop: no new work, everything under way seen through, then leave.

use sl_base::{Code, RequestId, Timestamp};

use crate::{
    Effect, State,
    request::{Caller, Phase},
    state::Stop,
};

impl State {
    pub(crate) fn stop_by(&mut self, cut_by: Timestamp) {
        if self.stop != Stop::Done {
            self.stop = Stop::Draining { cut_by };
        }
    }

    pub(crate) fn see_stop_through(&mut self, now: Timestamp) {
        let Stop::Draining { cut_by } = self.stop else {
            return;
        };
        if cut_by.is_due(now) {
            self.cut_all();
        }
        if self.requests.is_empty() || cut_by.is_due(now) {
            self.stop = Stop::Done;
            self.effects.push(Effect::Exit);
        }
    }

    fn cut_all(&mut self) {
        let open: Vec<(RequestId, Code)> = self
            .requests
            .iter()
            .filter(|it| it.caller == Caller::Waiting)
            .map(|it| match it.phase {
                Phase::Running(_) => (it.arrival.request, Code::Stopped),
                _ => (it.arrival.request, Code::Draining),
            })
            .collect();
        for (id, code) in open {
            self.refuse(id, code);
        }
    }
}
