//! One shard: what is known of its chain of segments, and the one call to the platform
//! that is under way for it.

use std::collections::{BTreeMap, BTreeSet};

use sl_base::{
    Timestamp,
    call::{Call, CallId, Reply, Version},
    hash::KeyHash,
};

use crate::{
    Options, Token, Verdict,
    index::Index,
    segment::{Fate, Record, Segment, What, archive_key, open_key},
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
struct View {
    version: Version,
    open: Segment,
    index: Index,
    archives: BTreeMap<u64, Archive>,
    /// The archives before this one are in the index.
    next_archive: u64,
    /// Whether the records of `open` are in the index.
    folded: bool,
    /// Whether the sealed `open` stands in its archive.
    archived: bool,
    /// Whether another version may stand.
    stale: bool,
    /// When `open` was asked for.
    asked_at: Timestamp,
    /// The first archive that may still have to be deleted.
    first_kept: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Archive {
    newest: Timestamp,
    version: Option<Version>,
}

#[derive(Debug)]
struct Flight {
    id: CallId,
    step: Step,
    answer_by: Timestamp,
    asked_at: Timestamp,
}

#[derive(Debug)]
enum Step {
    Load,
    Fetch { seq: u64 },
    Append(Segment),
    Store,
    Roll(Segment),
    Weigh { seq: u64 },
    Delete { seq: u64 },
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
        let idle = if self.is_idle() {
            self.idle_at
        } else {
            Timestamp::NEVER
        };
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
        self.flight = Some(Flight {
            id,
            step,
            answer_by,
            asked_at: now,
        });
        self.idle_at = if is_owner {
            Timestamp::NEVER
        } else {
            now.after(options.idle_for)
        };
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
        let version = self
            .view
            .as_ref()
            .map_or(Version::ABSENT, |view| view.version);
        Some(match step {
            Step::Load => Call::Get {
                key: open_key(shard),
            },
            Step::Fetch { seq } | Step::Weigh { seq } => Call::Get {
                key: archive_key(shard, *seq),
            },
            Step::Append(segment) | Step::Roll(segment) => Call::Put {
                key: open_key(shard),
                expect: version,
                value: segment.encode(),
            },
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

impl View {
    fn new(version: Version, open: Segment, asked_at: Timestamp) -> View {
        View {
            version,
            index: Index::default(),
            archives: BTreeMap::new(),
            next_archive: open.first_live,
            first_kept: open.first_kept,
            open,
            folded: false,
            archived: false,
            stale: false,
            asked_at,
        }
    }

    /// Takes a newer version of the open segment in. The archive of the segment that was
    /// open before is read again, because records may have been added until its seal.
    fn advance(&mut self, version: Version, open: Segment, asked_at: Timestamp) {
        self.archived &= open.seq == self.open.seq;
        self.next_archive = self.next_archive.max(open.first_live);
        self.first_kept = self.first_kept.max(open.first_kept);
        self.version = version;
        self.open = open;
        self.folded = false;
        self.stale = false;
        self.asked_at = asked_at;
        self.forget();
    }

    fn forget(&mut self) {
        self.index.forget_before(self.open.first_live);
        let first = self.first_kept;
        self.archives.retain(|&seq, _| seq >= first);
    }

    /// Whether every live archive is in the index.
    fn is_whole(&self) -> bool {
        self.next_archive >= self.open.seq
    }

    fn fold(&mut self) {
        if self.folded {
            return;
        }
        for record in &self.open.records {
            self.index.apply(self.open.seq, record);
        }
        self.folded = true;
    }

    fn resolve(&self, item: &Item, options: &Options) -> Option<Resolved> {
        match item.record.what {
            What::Claim => self.resolve_claim(item, options),
            What::Outcome(fate) => {
                let pends = self.awaits_record(&item.record, fate);
                (!pends).then_some(Resolved::Recorded)
            }
        }
    }

    fn awaits_record(&self, record: &Record, fate: Fate) -> bool {
        match self.index.get(record.key) {
            Some(entry) if entry.token == record.token => entry.fate.is_none(),
            // A late write may still make the claim stand, unless the release is there.
            Some(entry) => entry.is_released() && fate == Fate::NotRun,
            None => fate == Fate::NotRun,
        }
    }

    fn resolve_claim(&self, item: &Item, options: &Options) -> Option<Resolved> {
        let Record { key, token, .. } = item.record;
        match self.index.verdict(key, token) {
            // The outcome may have been recorded since the view was read.
            Some(Verdict::Unknown) if self.asked_at < item.since => None,
            Some(verdict) => Some(Resolved::Claim(verdict)),
            None if self.index.len() >= options.max_keys => Some(Resolved::Full),
            None => None,
        }
    }

    fn may_write(&self, record: &Record) -> bool {
        match record.what {
            What::Claim => self.index.verdict(record.key, record.token).is_none(),
            What::Outcome(_) => true,
        }
    }

    fn appended(
        &self,
        now: Timestamp,
        records: Vec<Record>,
        options: &Options,
        is_owner: bool,
    ) -> Segment {
        let mut open = self.open.clone();
        open.records.extend(records);
        open.newest = open.newest.max(now);
        open.first_live = self.first_live(now, options, is_owner);
        open.first_kept = self.first_kept;
        open.sealed = open.encode().len() >= options.segment_bytes;
        open
    }

    fn next_segment(&self, now: Timestamp, options: &Options, is_owner: bool) -> Segment {
        Segment {
            seq: self.open.seq + 1,
            first_live: self.first_live(now, options, is_owner),
            first_kept: self.first_kept,
            sealed: false,
            newest: self.open.newest,
            records: Vec::new(),
        }
    }

    /// Whether there are records to be forgotten before anything is decided.
    fn is_outdated(&self, now: Timestamp, options: &Options, is_owner: bool) -> bool {
        self.first_live(now, options, is_owner) > self.open.first_live
    }

    /// The first archive that is too young to be forgotten. Only the owner forgets, so
    /// that one wall clock decides.
    fn first_live(&self, now: Timestamp, options: &Options, is_owner: bool) -> u64 {
        let expired = |archive: &Archive| {
            archive
                .newest
                .after(options.key_life)
                .after(options.clock_skew)
                .is_due(now)
        };
        let mut first = self.open.first_live;
        while is_owner && self.archives.get(&first).is_some_and(expired) {
            first += 1;
        }
        first
    }

    fn take_reply(&mut self, step: Step, reply: Reply, asked_at: Timestamp) -> bool {
        match (step, reply) {
            (Step::Fetch { seq }, Reply::Value { version, value }) => {
                match Segment::decode(&value) {
                    Ok(segment) => self.fetched(seq, version, &segment),
                    Err(_) => return false,
                }
            }
            (Step::Append(segment), Reply::Done { version }) => {
                self.written(version, segment);
                self.asked_at = asked_at;
            }
            (Step::Roll(segment), Reply::Done { version }) => {
                self.next_archive = segment.seq;
                self.written(version, segment);
                self.archived = false;
            }
            (Step::Append(_) | Step::Roll(_), Reply::Conflict { .. }) => self.stale = true,
            (Step::Store, Reply::Done { version }) => self.stored(Some(version)),
            (Step::Store, Reply::Conflict { .. }) => self.stored(None),
            (Step::Weigh { seq }, Reply::Value { version, .. }) => {
                self.archives.entry(seq).or_default().version = Some(version);
            }
            (Step::Weigh { seq }, Reply::Absent)
            | (Step::Delete { seq }, Reply::Done { .. } | Reply::Absent) => self.deleted(seq),
            (Step::Delete { seq }, Reply::Conflict { .. }) => {
                self.archives.remove(&seq);
            }
            _ => return false,
        }
        true
    }

    fn fetched(&mut self, seq: u64, version: Version, segment: &Segment) {
        for record in &segment.records {
            self.index.apply(seq, record);
        }
        let archive = Archive {
            newest: segment.newest,
            version: Some(version),
        };
        self.archives.insert(seq, archive);
        self.next_archive = seq + 1;
    }

    fn written(&mut self, version: Version, segment: Segment) {
        self.version = version;
        self.open = segment;
        self.folded = false;
        self.forget();
        self.fold();
    }

    fn stored(&mut self, version: Option<Version>) {
        let archive = Archive {
            newest: self.open.newest,
            version,
        };
        self.archives.insert(self.open.seq, archive);
        self.archived = true;
    }

    fn deleted(&mut self, seq: u64) {
        self.archives.remove(&seq);
        self.first_kept = self.first_kept.max(seq + 1);
    }
}

/// Bounds the exponent of the wait after failed calls.
const MAX_DOUBLINGS: u32 = 16;

/// The shard that `key` belongs to.
pub(crate) fn shard_of(key: KeyHash, shards: u16) -> u16 {
    let [low, high, ..] = key.0;
    u16::from_le_bytes([low, high]) % shards.max(1)
}
