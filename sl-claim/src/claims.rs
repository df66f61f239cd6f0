//! Claims on idempotency keys.

use std::collections::{BTreeMap, BTreeSet};

use sl_base::{
    Code, Incarnation, InstanceId, RequestId, Timestamp,
    call::{CallId, Reply},
    hash::{KeyHash, owner},
};

use crate::{
    Decision, Message, Options, Output, Settled, Token, Verdict,
    segment::{Fate, Record, What},
    shard::{Item, Resolved, Route, Shard, shard_of},
};

/// The claims of one life of one instance.
///
/// A request is granted at most once, and only if this process's own token stands in the
/// shard's chain. Nobody takes a claim over. A claim that is given up because its deadline
/// came is answered as not run, which is true because the request is forgotten and a late
/// success of its write only leads to the key's release.
#[derive(Debug)]
pub struct Claims {
    options: Options,
    me: InstanceId,
    incarnation: Incarnation,
    members: BTreeSet<InstanceId>,
    shards: Vec<Shard>,
    pending: BTreeMap<RequestId, Pending>,
    granted: BTreeMap<RequestId, KeyHash>,
    held: BTreeMap<KeyHash, RequestId>,
    next_call: u64,
    out: Vec<Output>,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    key: KeyHash,
    give_up_by: Timestamp,
}

impl Claims {
    /// The claims of an instance that just started.
    pub fn new(options: Options, me: InstanceId, incarnation: Incarnation) -> Claims {
        Claims {
            shards: (0..options.shards.max(1)).map(Shard::new).collect(),
            options,
            me,
            incarnation,
            members: BTreeSet::from([me]),
            pending: BTreeMap::new(),
            granted: BTreeMap::new(),
            held: BTreeMap::new(),
            next_call: 0,
            out: Vec::new(),
        }
    }

    /// Takes the live instances in, among which the shards' owners are chosen. The choice
    /// only keeps conflicts rare.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = InstanceId>) {
        self.members = members.into_iter().collect();
        self.members.insert(self.me);
    }

    /// Asks to dispatch `request` under `key`; [`Output::Decided`] follows by `give_up_by`.
    pub fn claim(
        &mut self,
        now: Timestamp,
        request: RequestId,
        key: KeyHash,
        give_up_by: Timestamp,
    ) {
        if self.held.contains_key(&key) {
            self.refuse(request, Code::KeyRunning, None);
            return;
        }
        let is_full = self.pending.len() >= self.options.max_pending || self.is_crowded();
        if is_full || give_up_by.is_due(now) {
            self.refuse(request, Code::ClaimUnavailable, None);
            return;
        }
        self.pending.insert(request, Pending { key, give_up_by });
        self.held.insert(key, request);
        let record = Record { key, token: self.token(request), what: What::Claim };
        self.add_own(now, record, give_up_by, FORWARD_CLAIM_TRIES);
    }

    /// Records what came of a granted `request`; [`Output::Settled`] follows. Anything but
    /// a granted request is ignored.
    pub fn settle(&mut self, now: Timestamp, request: RequestId, settled: Settled) {
        let Some(key) = self.granted.remove(&request) else {
            return;
        };
        self.held.remove(&key);
        let fate = match settled {
            Settled::Ran { status } => Fate::Ran { status },
            Settled::NotRun => Fate::NotRun,
            Settled::Unknown => Fate::Unknown,
        };
        self.add_outcome(now, key, self.token(request), fate);
    }

    /// Takes the answer to an [`Output::Call`] in. An answer that comes after its deadline
    /// is ignored; the chain is read again instead.
    pub fn on_reply(&mut self, now: Timestamp, id: CallId, reply: Reply) {
        let number = (id.0 & SHARD_MASK) as usize;
        let Some(shard) = self.shards.get_mut(number) else {
            return;
        };
        if shard.in_flight().is_some_and(|(flight, _)| flight == id) {
            shard.on_reply(now, reply, &self.options);
            self.pump(now, number);
        }
    }

    /// Takes a peer's message in.
    pub fn on_message(&mut self, now: Timestamp, from: InstanceId, message: Message) {
        match message {
            Message::Claim { key, token } if token.instance == from => {
                let drop_at = now.after(self.options.forward_wait);
                self.add_forwarded(now, Record { key, token, what: What::Claim }, drop_at);
            }
            Message::Settle { key, token, fate } if token.instance == from => {
                let drop_at = now.after(self.options.settle_for);
                let what = What::Outcome(fate);
                self.add_forwarded(now, Record { key, token, what }, drop_at);
            }
            Message::Claimed { token, verdict } if self.is_mine(token) => {
                self.on_claimed(now, token, verdict);
            }
            Message::Settled { token } if self.is_mine(token) => self.on_settled(token),
            _ => {}
        }
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Timestamp) {
        self.give_up(now);
        for number in 0..self.shards.len() {
            let shard = &mut self.shards[number];
            if shard.in_flight().is_some_and(|(_, by)| by.is_due(now)) {
                shard.on_reply(now, Reply::Lost, &self.options);
            }
            shard.drop_if_idle(now);
            self.drop_items(now, number);
            self.ask_owner(now, number);
            self.pump(now, number);
        }
    }

    /// When [`Claims::tick`] is next to be called.
    pub fn due(&self, now: Timestamp) -> Timestamp {
        let pending = self.pending.values().map(|p| p.give_up_by);
        let shards = self.shards.iter().map(|shard| shard.due(now));
        pending.chain(shards).min().unwrap_or(Timestamp::NEVER)
    }

    /// Takes what is to be done outside.
    pub fn take(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.out)
    }

    /// Whether a call with this id was made by the claims.
    pub const fn owns(id: CallId) -> bool {
        id.0 & CALL_SPACE == CALL_SPACE
    }

    /// How many keys the shards in memory hold.
    pub fn keys(&self) -> usize {
        self.shards.iter().map(Shard::keys).sum()
    }

    /// How many claims and outcomes wait for a write.
    pub fn waiting(&self) -> usize {
        self.shards.iter().map(Shard::len).sum()
    }

    fn token(&self, request: RequestId) -> Token {
        Token { instance: self.me, incarnation: self.incarnation, request }
    }

    fn is_mine(&self, token: Token) -> bool {
        token.instance == self.me && token.incarnation == self.incarnation
    }

    fn is_crowded(&self) -> bool {
        self.waiting() >= self.options.max_waiting
    }

    fn number_of(&self, key: KeyHash) -> usize {
        usize::from(shard_of(key, self.options.shards))
    }

    fn owner_of(&self, number: usize) -> InstanceId {
        owner(number as u64, self.members.iter().copied()).unwrap_or(self.me)
    }

    fn add_outcome(&mut self, now: Timestamp, key: KeyHash, token: Token, fate: Fate) {
        if self.is_crowded() {
            self.out.push(Output::Settled { request: token.request, recorded: false });
            return;
        }
        let record = Record { key, token, what: What::Outcome(fate) };
        let drop_at = now.after(self.options.settle_for);
        self.add_own(now, record, drop_at, self.options.settle_tries);
    }

    fn add_own(&mut self, now: Timestamp, record: Record, drop_at: Timestamp, tries: u32) {
        let number = self.number_of(record.key);
        let route = if self.owner_of(number) == self.me {
            Route::Here
        } else {
            Route::Owner { ask_at: now, tries_left: tries }
        };
        self.shards[number].push(Item { record, route, drop_at, since: now, exposed: false });
        self.ask_owner(now, number);
        self.pump(now, number);
    }

    fn add_forwarded(&mut self, now: Timestamp, record: Record, drop_at: Timestamp) {
        let number = self.number_of(record.key);
        let is_claim = record.what == What::Claim;
        let shard = &self.shards[number];
        if self.is_crowded() || shard.find(record.token, is_claim).is_some() {
            return;
        }
        self.shards[number].push(Item {
            record,
            route: Route::Here,
            drop_at,
            since: now,
            exposed: false,
        });
        self.pump(now, number);
    }

    /// Tells the owner of what waits for it, or stops waiting for the owner.
    fn ask_owner(&mut self, now: Timestamp, number: usize) {
        let to = self.owner_of(number);
        let again_at = now.after(self.options.forward_wait);
        let shard = &mut self.shards[number];
        let due: Vec<u64> = shard
            .items()
            .filter(
                |(_, item)| matches!(item.route, Route::Owner { ask_at, .. } if ask_at.is_due(now)),
            )
            .map(|(number, _)| number)
            .collect();
        for id in due {
            let Some(item) = shard.item_mut(id) else {
                continue;
            };
            match item.route {
                Route::Owner { tries_left, .. } if tries_left > 0 && to != self.me => {
                    item.route = Route::Owner { ask_at: again_at, tries_left: tries_left - 1 };
                    item.exposed = true;
                    let message = forwarded(&item.record);
                    self.out.push(Output::Send { to, message });
                }
                _ => item.route = Route::Here,
            }
        }
    }

    fn pump(&mut self, now: Timestamp, number: usize) {
        let is_owner = self.owner_of(number) == self.me;
        let resolved = self.shards[number].resolve(now, &self.options, is_owner);
        for (item, resolved) in resolved {
            self.on_resolved(now, &item, resolved);
        }
        let id = CallId(CALL_SPACE | (self.next_call << SHARD_BITS) | number as u64);
        let shard = &mut self.shards[number];
        if let Some((call, answer_by)) = shard.next_call(now, id, &self.options, is_owner) {
            self.next_call += 1;
            self.out.push(Output::Call { id, call, answer_by });
        }
    }

    fn on_resolved(&mut self, now: Timestamp, item: &Item, resolved: Resolved) {
        let token = item.record.token;
        let is_mine = self.is_mine(token);
        match resolved {
            Resolved::Claim(verdict) if is_mine => self.decide(now, token, verdict),
            Resolved::Claim(verdict) => self.out.push(Output::Send {
                to: token.instance,
                message: Message::Claimed { token, verdict },
            }),
            Resolved::Full if is_mine => {
                self.end_pending(token.request, Code::ClaimUnavailable, None);
            }
            Resolved::Full => {}
            Resolved::Recorded if is_mine => {
                self.out.push(Output::Settled { request: token.request, recorded: true })
            }
            Resolved::Recorded => self
                .out
                .push(Output::Send { to: token.instance, message: Message::Settled { token } }),
        }
    }

    fn on_claimed(&mut self, now: Timestamp, token: Token, verdict: Verdict) {
        let Some(pending) = self.pending.get(&token.request).copied() else {
            return;
        };
        let number = self.number_of(pending.key);
        let shard = &mut self.shards[number];
        let item = shard.find(token, true).and_then(|number| shard.remove(number));
        self.decide(now, token, verdict);
        // A write of this instance's own may still make the refused claim stand.
        let may_stand = item.is_some_and(|item| item.exposed && item.route == Route::Here);
        if may_stand && verdict != Verdict::Granted {
            self.add_outcome(now, pending.key, token, Fate::NotRun);
        }
    }

    fn on_settled(&mut self, token: Token) {
        for shard in &mut self.shards {
            let Some(number) = shard.find(token, false) else {
                continue;
            };
            shard.remove(number);
            self.out.push(Output::Settled { request: token.request, recorded: true });
        }
    }

    fn decide(&mut self, now: Timestamp, token: Token, verdict: Verdict) {
        let request = token.request;
        let Some(pending) = self.pending.get(&request).copied() else {
            return;
        };
        if pending.give_up_by.is_due(now) {
            self.abandon(now, request, pending.key);
            return;
        }
        match verdict {
            Verdict::Granted => {
                self.pending.remove(&request);
                self.granted.insert(request, pending.key);
                self.out.push(Output::Decided { request, decision: Decision::Granted });
            }
            Verdict::Ran { status } => {
                self.end_pending(request, Code::KeyRan, Some(status));
            }
            Verdict::Unknown => {
                self.end_pending(request, Code::KeyUnknown, None);
            }
        }
    }

    fn give_up(&mut self, now: Timestamp) {
        let due: Vec<(RequestId, KeyHash)> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.give_up_by.is_due(now))
            .map(|(&request, pending)| (request, pending.key))
            .collect();
        for (request, key) in due {
            self.abandon(now, request, key);
        }
    }

    /// Forgets a claim that was not decided in time. Nothing was dispatched and nothing
    /// will be; if the claim may stand, its key is released.
    fn abandon(&mut self, now: Timestamp, request: RequestId, key: KeyHash) {
        if !self.end_pending(request, Code::ClaimUnavailable, None) {
            return;
        }
        let token = self.token(request);
        let number = self.number_of(key);
        let shard = &mut self.shards[number];
        let item = shard.find(token, true).and_then(|number| shard.remove(number));
        if item.is_none_or(|item| item.exposed) {
            self.add_outcome(now, key, token, Fate::NotRun);
        }
    }

    fn drop_items(&mut self, now: Timestamp, number: usize) {
        let shard = &mut self.shards[number];
        let due: Vec<u64> = shard
            .items()
            .filter(|(_, item)| item.drop_at.is_due(now))
            .map(|(number, _)| number)
            .collect();
        for id in due {
            let Some(item) = self.shards[number].remove(id) else {
                continue;
            };
            let token = item.record.token;
            if self.is_mine(token) && item.record.what != What::Claim {
                self.out.push(Output::Settled { request: token.request, recorded: false });
            }
        }
    }

    /// Refuses a claim that is not decided yet; false where it is.
    fn end_pending(&mut self, request: RequestId, code: Code, status: Option<u16>) -> bool {
        let Some(pending) = self.pending.remove(&request) else {
            return false;
        };
        self.held.remove(&pending.key);
        self.refuse(request, code, status);
        true
    }

    fn refuse(&mut self, request: RequestId, code: Code, status: Option<u16>) {
        let wait = self.options.retry_after;
        let retry_after = (code == Code::ClaimUnavailable).then_some(wait);
        self.out.push(Output::Decided {
            request,
            decision: Decision::Refused { code, status, retry_after },
        });
    }
}

fn forwarded(record: &Record) -> Message {
    let Record { key, token, what } = *record;
    match what {
        What::Claim => Message::Claim { key, token },
        What::Outcome(fate) => Message::Settle { key, token, fate },
    }
}

/// How often a claim is sent to the shard's owner.
const FORWARD_CLAIM_TRIES: u32 = 1;

/// Marks the ids of the claims' calls, so that others can share the space of ids.
const CALL_SPACE: u64 = 1 << 62;

/// Bits of a call's id that hold the shard.
const SHARD_BITS: u32 = 16;

/// The bits themselves.
const SHARD_MASK: u64 = (1 << SHARD_BITS) - 1;
