//! One shard: what waits for a write, and the one call to the platform that is under way.

use std::collections::{BTreeMap, BTreeSet};

use sl_base::{
    Timestamp,
    call::{Call, CallId, Reply, Version},
    hash::KeyHash,
};

use crate::{
    Options, Token, Verdict,
    segment::{Record, Segment, What, archive_key, open_key},
    view::{Step, View},
};

/// A claim or an outcome that is not written yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Item {
    pub record: Record,
    pub route: Route,
    /// When it is given up.
    pub drop_at: Timestamp,
    /// When it came.
    pub since: Timestamp,
    /// Whether a write that holds it may have left, here or at the owner.
    pub exposed: bool,
}

/// Who is to write an [`Item`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    /// This instance.
    Here,
    /// The shard's owner, until it has been silent for too long.
    Owner { ask_at: Timestamp, tries_left: u32 },
}

/// What became of an [`Item`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Resolved {
    /// A claim's verdict.
    Claim(Verdict),
    /// The index holds as many keys as it may.
    Full,
    /// An outcome is recorded, or needs no record any more.
    Recorded,
}

#[derive(Debug)]
pub(crate) struct Shard {
    number: u16,
    view: Option<View>,
    flight: Option<Flight>,
    items: BTreeMap<u64, Item>,
    next_item: u64,
    failures: u32,
    retry_at: Timestamp,
    spaced_at: Timestamp,
    idle_at: Timestamp,
}

#[derive(Debug)]
struct Flight {
    id: CallId,
    step: Step,
    answer_by: Timestamp,
    asked_at: Timestamp,
}

impl Shard {
    pub fn new(number: u16) -> Shard {
        Shard {
            number,
            view: None,
            flight: None,
            items: BTreeMap::new(),
            next_item: 0,
            failures: 0,
            retry_at: Timestamp::default(),
            spaced_at: Timestamp::default(),
            idle_at: Timestamp::NEVER,
        }
    }

    pub fn items(&self) -> impl Iterator<Item = (u64, &Item)> {
        self.items.iter().map(|(&number, item)| (number, item))
    }

    pub fn item_mut(&mut self, number: u64) -> Option<&mut Item> {
        self.items.get_mut(&number)
    }

    pub fn len(&self) -> usize {
        self.items.len()
    }

    pub fn keys(&self) -> usize {
        self.view.as_ref().map_or(0, |view| view.index.len())
    }

    pub fn push(&mut self, item: Item) {
        self.items.insert(self.next_item, item);
        self.next_item += 1;
    }

    pub fn find(&self, token: Token, is_claim: bool) -> Option<u64> {
        let same = |item: &Item| {
            item.record.token == token && (item.record.what == What::Claim) == is_claim
        };
        self.items().find(|(_, item)| same(item)).map(|(n, _)| n)
    }

    pub fn remove(&mut self, number: u64) -> Option<Item> {
        self.items.remove(&number)
    }

    pub fn in_flight(&self) -> Option<(CallId, Timestamp)> {
        self.flight.as_ref().map(|f| (f.id, f.answer_by))
    }

    /// Forgets what it knows of the chain, if it is not in use.
    pub fn drop_if_idle(&mut self, now: Timestamp) {
        if self.is_idle() && self.idle_at.is_due(now) {
            self.view = None;
            self.idle_at = Timestamp::NEVER;
        }
    }

    /// When something may be due that needs no event.
    pub fn due(&self, now: Timestamp) -> Timestamp {
        let items = self.items.values().map(Item::due).min();
        let call = match &self.flight {
            Some(flight) => flight.answer_by,
            None if self.has_work() => self.call_due(now),
            None => Timestamp::NEVER,
        };
        let idle = if self.is_idle() { self.idle_at } else { Timestamp::NEVER };
        items.unwrap_or(Timestamp::NEVER).min(call).min(idle)
    }

    /// Takes out the items that what is known decides.
    pub fn resolve(
        &mut self,
        now: Timestamp,
        options: &Options,
        is_owner: bool,
    ) -> Vec<(Item, Resolved)> {
        let Some(view) = self.view.as_mut().filter(|view| view.is_whole()) else {
            return Vec::new();
        };
        view.fold();
        let view = &*view;
        if view.is_outdated(now, options, is_owner) {
            return Vec::new();
        }
        let decided: Vec<(u64, Resolved)> = self
            .items
            .iter()
            .filter(|(_, item)| item.route == Route::Here)
            .filter_map(|(&number, item)| Some((number, view.resolve(item, options)?)))
            .collect();
        decided
            .into_iter()
            .filter_map(|(number, resolved)| Some((self.items.remove(&number)?, resolved)))
            .collect()
    }

    /// The call that is to be made next, if any; `id` becomes its id.
    pub fn next_call(
        &mut self,
        now: Timestamp,
        id: CallId,
        options: &Options,
        is_owner: bool,
    ) -> Option<(Call, Timestamp)> {
        if self.flight.is_some() || !self.retry_at.is_due(now) {
            return None;
        }
        let step = self.next_step(now, options, is_owner)?;
        let call = self.call(&step)?;
        let answer_by = now.after(options.call_timeout);
        self.flight = Some(Flight { id, step, answer_by, asked_at: now });
        self.idle_at = if is_owner { Timestamp::NEVER } else { now.after(options.idle_for) };
        Some((call, answer_by))
    }

    /// Takes the answer of the call under way in.
    pub fn on_reply(&mut self, now: Timestamp, reply: Reply, options: &Options) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        let understood = self.take_reply(flight, reply);
        if understood {
            self.failures = 0;
            self.retry_at = now;
        } else {
            self.fail(now, options);
        }
    }

    fn is_idle(&self) -> bool {
        self.view.is_some() && self.flight.is_none() && self.items.is_empty()
    }

    fn has_work(&self) -> bool {
        self.items.values().any(|item| item.route == Route::Here)
    }

    fn call_due(&self, now: Timestamp) -> Timestamp {
        self.retry_at.max(self.spaced_at).max(now)
    }

    fn fail(&mut self, now: Timestamp, options: &Options) {
        let factor = 1_u64 << self.failures.min(MAX_DOUBLINGS);
        let wait = options.backoff.0.saturating_mul(factor);
        let wait = sl_base::Millis(wait.min(options.backoff_max.0));
        self.failures = self.failures.saturating_add(1);
        self.retry_at = now.after(wait);
        if let Some(view) = &mut self.view {
            view.stale = true;
        }
    }

    fn next_step(&mut self, now: Timestamp, options: &Options, is_owner: bool) -> Option<Step> {
        let has_work = self.has_work();
        let Some(view) = self.view.as_mut().filter(|view| !view.stale) else {
            return has_work.then_some(Step::Load);
        };
        if !view.is_whole() {
            let seq = view.next_archive;
            return has_work.then_some(Step::Fetch { seq });
        }
        if view.open.sealed {
            let step = if view.archived {
                Step::Roll(view.next_segment(now, options, is_owner))
            } else {
                Step::Store
            };
            return Some(step);
        }
        if has_work && self.spaced_at.is_due(now) {
            self.spaced_at = now.after(options.write_spacing);
            return Some(self.append_or_load(now, options, is_owner));
        }
        self.next_delete(is_owner)
    }

    fn append_or_load(&mut self, now: Timestamp, options: &Options, is_owner: bool) -> Step {
        let batch = self.batch(options);
        match &self.view {
            Some(view) if !batch.is_empty() || view.is_outdated(now, options, is_owner) => {
                Step::Append(view.appended(now, batch, options, is_owner))
            }
            // What is left waits for a newer view, see `View::resolve_claim`.
            _ => Step::Load,
        }
    }

    /// The records of the next write: at most one for each key.
    fn batch(&mut self, options: &Options) -> Vec<Record> {
        let Some(view) = &self.view else {
            return Vec::new();
        };
        let mut touched = BTreeSet::new();
        let mut records = Vec::new();
        for item in self.items.values_mut() {
            let is_ready = item.route == Route::Here && view.may_write(&item.record);
            if is_ready && records.len() < options.batch_records && touched.insert(item.record.key)
            {
                item.exposed = true;
                records.push(item.record);
            }
        }
        records
    }

    fn next_delete(&self, is_owner: bool) -> Option<Step> {
        let view = self.view.as_ref()?;
        let seq = view.first_kept;
        if !is_owner || seq >= view.open.first_live {
            return None;
        }
        let version = view.archives.get(&seq).and_then(|archive| archive.version);
        Some(match version {
            Some(_) => Step::Delete { seq },
            None => Step::Weigh { seq },
        })
    }

    fn call(&self, step: &Step) -> Option<Call> {
        let shard = self.number;
        let version = self.view.as_ref().map_or(Version::ABSENT, |view| view.version);
        Some(match step {
            Step::Load => Call::Get { key: open_key(shard) },
            Step::Fetch { seq } | Step::Weigh { seq } => {
                Call::Get { key: archive_key(shard, *seq) }
            }
            Step::Append(segment) | Step::Roll(segment) => {
                Call::Put { key: open_key(shard), expect: version, value: segment.encode() }
            }
            Step::Store => {
                let open = &self.view.as_ref()?.open;
                Call::Put {
                    key: archive_key(shard, open.seq),
                    expect: Version::ABSENT,
                    value: open.encode(),
                }
            }
            Step::Delete { seq } => Call::Delete {
                key: archive_key(shard, *seq),
                expect: self.view.as_ref()?.archives.get(seq)?.version?,
            },
        })
    }

    /// Whether the answer moved things on; where it did not, the view is read again after
    /// a wait.
    fn take_reply(&mut self, flight: Flight, reply: Reply) -> bool {
        match (flight.step, reply) {
            (Step::Load, Reply::Value { version, value }) => match Segment::decode(&value) {
                Ok(open) => self.loaded(version, open, flight.asked_at),
                Err(_) => false,
            },
            (Step::Load, Reply::Absent) => {
                self.loaded(Version::ABSENT, Segment::default(), flight.asked_at)
            }
            (step, reply) => match &mut self.view {
                Some(view) => view.take_reply(step, reply, flight.asked_at),
                None => false,
            },
        }
    }

    fn loaded(&mut self, version: Version, open: Segment, asked_at: Timestamp) -> bool {
        match &mut self.view {
            Some(view) if version >= view.version => {
                view.advance(version, open, asked_at);
                true
            }
            // The service lost what it held. The claims made since are not to be
            // forgotten, so that nothing is granted.
            Some(_) => false,
            None => {
                self.view = Some(View::new(version, open, asked_at));
                true
            }
        }
    }
}

impl Item {
    fn due(&self) -> Timestamp {
        match self.route {
            Route::Here => self.drop_at,
            Route::Owner { ask_at, .. } => self.drop_at.min(ask_at),
        }
    }
}

/// Bounds the exponent of the wait after failed calls.
const MAX_DOUBLINGS: u32 = 16;

/// The shard that `key` belongs to.
pub(crate) fn shard_of(key: KeyHash, shards: u16) -> u16 {
    let [low, high, ..] = key.0;
    u16::from_le_bytes([low, high]) % shards.max(1)
}
