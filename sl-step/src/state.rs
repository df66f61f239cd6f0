//! The whole state of an instance, and the step that moves it.

use std::{collections::BTreeMap, sync::Arc};

use sl_base::{Incarnation, InstanceId, Millis, PoolId, RequestId, ServerId, Timestamp};
use sl_config::Config;

use crate::{Effect, Event, request::Requests, spread::Spread};

/// What an instance knows of itself from the start, and the bounds it keeps.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its id.
    pub me: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Seed of the generator that the state carries.
    pub seed: u64,
    /// Requests that it holds at most, waiting and running together.
    pub requests_max: usize,
    /// How often the platform's list is read.
    pub list_period: Millis,
    /// How long the platform may take to answer a call.
    pub platform_answer: Millis,
    /// How long the platform holds a watch open.
    pub watch_wait: Millis,
}

/// The whole state.
#[derive(Debug)]
pub struct State {
    pub(crate) options: Options,
    pub(crate) config: Arc<Config>,
    pub(crate) requests: Requests,
    pub(crate) spread: Spread,
    pub(crate) waiting: BTreeMap<PoolId, Vec<RequestId>>,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) list_version: u64,
    pub(crate) list_at: Timestamp,
    pub(crate) stop: Stop,
    pub(crate) ready: bool,
    pub(crate) effects: Vec<Effect>,
}

/// A backend server as this instance sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Server {
    pub(crate) address: std::net::SocketAddr,
    pub(crate) pool: PoolId,
    pub(crate) slots: u32,
    pub(crate) in_use: u32,
    pub(crate) leaving: bool,
}

/// Whether a planned stop is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stop {
    No,
    Draining { cut_by: Timestamp },
    Done,
}

impl State {
    /// The state of an instance that just started and knows nothing.
    pub fn new(options: Options) -> State {
        State {
            spread: Spread::new(),
            options,
            config: Arc::new(Config::default()),
            requests: Requests::default(),
            waiting: BTreeMap::new(),
            servers: BTreeMap::new(),
            list_version: 0,
            list_at: Timestamp::default(),
            stop: Stop::No,
            ready: false,
            effects: Vec::new(),
        }
    }

    /// Takes one event and gives what is to be done.
    pub fn step(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        self.take(now, event);
        self.expire(now);
        self.read_list(now);
        self.follow_head(now);
        self.dispatch(now);
        self.see_stop_through(now);
        self.tell_ready();
        std::mem::take(&mut self.effects)
    }

    /// When the next [`Event::Tick`] is due.
    pub fn due(&self) -> Timestamp {
        let stop = match self.stop {
            Stop::Draining { cut_by } => cut_by,
            _ => Timestamp::NEVER,
        };
        self.list_at.min(self.first_expiry()).min(stop)
    }

    /// The configuration in force here.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Whether a request is still to get its final answer or its attempt's end; what is
    /// kept for it outside may be dropped once it is not.
    pub fn is_held(&self, request: RequestId) -> bool {
        self.requests.get(request).is_some()
    }

    fn take(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Tick => {}
            Event::Arrived(arrival) => self.arrived(now, arrival),
            Event::CallerGone { request } => self.caller_gone(request),
            Event::Answering { attempt } => self.answering(attempt),
            Event::Progress { attempt, units } => self.progress(attempt, units),
            Event::Ended { attempt, end } => self.ended(now, attempt, end),
            Event::Message { .. } | Event::PeerAnswered { .. } | Event::PeerSilent { .. } => {}
            Event::Listed(listing) => self.listed(&listing),
            Event::ListFailed => {}
            Event::Replied { id, reply } => self.replied(id, reply),
            Event::Stop { cut_by } => self.stop_by(cut_by),
        }
    }

    fn tell_ready(&mut self) {
        let ready = self.stop == Stop::No && self.spread.has_config();
        if ready != self.ready {
            self.ready = ready;
            self.effects.push(Effect::Ready(ready));
        }
    }
}
