//! The task that owns the reducer's state: it turns commands into events, and effects
//! into tasks. It never waits for anything but the next command or deadline.

use std::sync::Arc;

use sl_back::Client;
use sl_base::{
    AttemptId, InstanceId, Millis, RequestId, Timestamp,
    listing::Listing,
    status::{InstanceStatus, ServerStatus},
};
use sl_front::{Job, Refusal};
use sl_peer::Links;
use sl_step::{
    Effect, Event, Message, State,
    effect::{Dispatch, Note},
    event::AttemptEnd,
};
use slog::{Logger, info};
use tokio::{sync::mpsc, time};

use crate::{
    attempt::Attempt,
    burn::Burn,
    clock::{Clock, Now},
    command::{Command, Peer, Seen},
    handle::Handle,
    held::Requests,
    metrics::Metrics,
};

/// What the owner is made of.
pub(crate) struct Owner<C> {
    pub(crate) state: State,
    pub(crate) clock: Clock,
    pub(crate) me: InstanceStatus,
    pub(crate) list_within: Millis,
    pub(crate) commands: mpsc::Sender<Command>,
    pub(crate) handle: Handle,
    pub(crate) links: Links,
    pub(crate) platform: sl_platform::Client,
    pub(crate) back: Client<C>,
    pub(crate) metrics: Metrics,
    pub(crate) burn: Burn,
    pub(crate) log: Logger,
    pub(crate) requests: Requests,
}

/// Whether the owner goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Go,
    Exit,
}

impl<C: Now> Owner<C> {
    /// Runs until the reducer says that everything is seen through.
    pub(crate) async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let mut next = self.step(Event::Tick);
        while next == Next::Go {
            let due = self.clock.instant(self.state.due(self.clock.now()));
            next = tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.take(command),
                    None => Next::Exit,
                },
                () = time::sleep_until(due) => self.step(Event::Tick),
            };
            for _ in 0..COMMANDS_AT_ONCE {
                if next == Next::Exit {
                    break;
                }
                let Ok(command) = commands.try_recv() else {
                    break;
                };
                next = self.take(command);
            }
            self.metrics.held.set(self.requests.len() as i64);
            self.metrics.running.set(self.requests.attempts() as i64);
            self.metrics.commands.set(commands.len() as i64);
            let listing = self.state.listing();
            self.metrics.servers.set(listing.servers.len() as i64);
            self.metrics.instances.set(listing.instances.len() as i64);
        }
    }

    fn take(&mut self, command: Command) -> Next {
        match command {
            Command::Event(event) => self.happened(event),
            Command::Arrive(job) => self.arrive(job),
            Command::CallerGone(request) => {
                let next = self.step(Event::CallerGone { request });
                self.forget_unless_held(request);
                next
            }
            Command::Stop { within } => self.stop(within),
            Command::Listed(listing) => self.listed(listing),
            Command::Status(tx) => {
                // Whoever asked may be gone by now.
                let _ = tx.send(self.seen());
                Next::Go
            }
        }
    }

    fn arrive(&mut self, job: Job) -> Next {
        let arrival = job.arrival;
        self.requests.insert(self.clock.now(), job);
        self.step(Event::Arrived(arrival))
    }

    fn happened(&mut self, event: Event) -> Next {
        match event {
            Event::Ended { attempt, end } => {
                self.metrics.ended(end);
                self.record_answered(attempt, end);
                let request = self.requests.end(attempt);
                let next = self.step(event);
                if let Some(request) = request {
                    self.forget_unless_held(request);
                }
                next
            }
            Event::Answering { attempt } => {
                self.observe_first_byte(attempt);
                self.step(event)
            }
            Event::Replied { ref reply, .. } => {
                self.me.platform_answers = *reply != sl_base::call::Reply::Lost;
                self.step(event)
            }
            _ => self.step(event),
        }
    }

    fn stop(&mut self, within: Millis) -> Next {
        self.me.stopping = true;
        info!(self.log, "planned stop begins"; "within_ms" => within.0);
        let cut_by = self.clock.now().after(within);
        self.step(Event::Stop { cut_by })
    }

    fn listed(&mut self, listing: Option<Listing>) -> Next {
        self.me.platform_answers = true;
        match listing {
            Some(listing) => self.step(Event::Listed(Arc::new(listing))),
            None => self.step(Event::ListUnchanged),
        }
    }

    fn step(&mut self, event: Event) -> Next {
        let now = self.clock.now();
        let effects = self.state.step(now, event);
        let mut next = Next::Go;
        for effect in effects {
            match effect {
                Effect::Exit => next = Next::Exit,
                effect => self.carry_out(now, effect),
            }
        }
        next
    }

    fn carry_out(&mut self, now: Timestamp, effect: Effect) {
        match effect {
            Effect::Dispatch(dispatch) => self.dispatch(dispatch),
            Effect::Answer { request, code, retry_after, ran_status } => {
                self.metrics.answered(code);
                if let Some(held) = self.requests.remove(request) {
                    self.burn.failed(&held.label, code);
                    held.fail(Refusal { code, retry_after, ran_status });
                }
            }
            Effect::Abort { attempt } => self.requests.abort(attempt),
            Effect::Send { to, address, sent_at, messages } => {
                self.send(sent_at, to, address, messages)
            }
            Effect::Call { id, call, answer_by } => {
                let (platform, commands) = (self.platform.clone(), self.commands.clone());
                let answer_by = self.clock.instant(answer_by);
                tokio::spawn(async move {
                    let reply = platform.call(&call, answer_by).await;
                    let event = Event::Replied { id, reply };
                    let _ = commands.send(Command::Event(event)).await;
                });
            }
            Effect::List { seen } => self.list(now, seen),
            Effect::Publish(config) => {
                let revision = config.revision();
                self.metrics.revision.set(revision.0 as i64);
                self.me.revision = revision;
                self.handle.publish(config);
            }
            Effect::Ready(ready) => {
                info!(self.log, "readiness changed"; "ready" => ready);
                self.metrics.ready.set(i64::from(ready));
                self.me.ready = ready;
                self.handle.set_ready(ready);
            }
            Effect::Note(Note { what, whom }) => {
                info!(self.log, "{}", what; "whom" => whom);
                self.metrics.noted(what);
            }
            Effect::Exit => {}
        }
    }

    fn dispatch(&mut self, dispatch: Dispatch) {
        let commands = self.commands.clone();
        let attempt = dispatch.attempt;
        let Some(held) = self.requests.get(dispatch.request).cloned() else {
            let end = AttemptEnd::NotSent;
            tokio::spawn(async move {
                let event = Event::Ended { attempt, end };
                let _ = commands.send(Command::Event(event)).await;
            });
            return;
        };
        let aborted = self.requests.begin(attempt, dispatch.request);
        let attempt = Attempt {
            dispatch,
            arrival: held.arrival,
            request: held.request,
            answer: held.answer,
            aborted,
            commands,
        };
        tokio::spawn(attempt.run(self.back.clone()));
    }

    fn send(
        &self,
        sent_at: Timestamp,
        peer: InstanceId,
        address: std::net::SocketAddr,
        messages: Vec<Message>,
    ) {
        let (links, commands) = (self.links.clone(), self.commands.clone());
        tokio::spawn(async move {
            let event = match links.deliver(peer, address, messages).await {
                Ok(()) => Event::PeerAnswered { peer, sent_at },
                Err(_) => Event::PeerSilent { peer },
            };
            let _ = commands.send(Command::Event(event)).await;
        });
    }

    fn list(&self, now: Timestamp, seen: u64) {
        let (platform, commands) = (self.platform.clone(), self.commands.clone());
        let answer_by = self.clock.instant(now.after(self.list_within));
        tokio::spawn(async move {
            let command = match platform.list(seen, answer_by).await {
                Ok(listing) => Command::Listed(listing),
                Err(_) => Command::Event(Event::ListFailed),
            };
            let _ = commands.send(command).await;
        });
    }

    fn observe_first_byte(&mut self, attempt: AttemptId) {
        let now = self.clock.now();
        if let Some(held) = self.requests.by_attempt(attempt) {
            held.first_byte = Some(now);
            let micros = now.micros_since(held.arrived);
            let seconds = micros as f64 / MICROS_PER_SECOND;
            self.metrics.first_byte.observe(seconds);
        }
    }

    fn record_answered(&mut self, attempt: AttemptId, end: AttemptEnd) {
        let AttemptEnd::Complete { .. } = end else {
            return;
        };
        if let Some(held) = self.requests.by_attempt(attempt)
            && let Some(first_byte) = held.first_byte
        {
            let micros = first_byte.micros_since(held.arrived);
            self.burn.answered(&held.label, micros);
        }
    }

    fn forget_unless_held(&mut self, request: RequestId) {
        if !self.state.is_held(request) {
            self.requests.remove(request);
        }
    }

    fn seen(&self) -> Seen {
        let me = InstanceId::of(&self.me.name);
        let mut instance = InstanceStatus { teams: self.requests.by_team(), ..self.me.clone() };
        self.state.describe(self.clock.now(), &mut instance);
        let listing = self.state.listing();
        let peers = listing.instances.iter().map(|it| Peer {
            id: InstanceId::of(&it.name),
            name: it.name.clone(),
            address: it.control,
        });
        Seen {
            servers: servers(listing, &instance),
            peers: peers.filter(|it| it.id != me).collect(),
            instance,
        }
    }
}

fn servers(listing: &Listing, instance: &InstanceStatus) -> Vec<ServerStatus> {
    let busy = |name: &str| -> u32 {
        let windows = instance.windows.iter();
        let own = windows.filter(|it| it.server == name);
        own.map(|it| it.busy).sum()
    };
    let servers = listing.servers.iter().map(|it| ServerStatus {
        name: it.name.clone(),
        pool: it.pool.clone(),
        slots: it.slots,
        running: busy(&it.name),
        leaving: it.leaving,
    });
    servers.collect()
}

/// Commands that are taken before metrics are brought up to date.
const COMMANDS_AT_ONCE: usize = 256;
const MICROS_PER_SECOND: f64 = 1e6;
