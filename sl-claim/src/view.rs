//! What is known of a shard's chain of segments.

use std::collections::BTreeMap;

use sl_base::{
    Timestamp,
    call::{Reply, Version},
};

use crate::{
    Options, Verdict,
    index::Index,
    segment::{Fate, Record, Segment, What},
    shard::{Item, Resolved},
};

#[derive(Debug)]
pub(crate) struct View {
    pub version: Version,
    pub open: Segment,
    pub index: Index,
    pub archives: BTreeMap<u64, Archive>,
    /// The archives before this one are in the index.
    pub next_archive: u64,
    /// Whether the records of `open` are in the index.
    pub folded: bool,
    /// Whether the sealed `open` stands in its archive.
    pub archived: bool,
    /// Whether another version may stand.
    pub stale: bool,
    /// When `open` was asked for.
    pub asked_at: Timestamp,
    /// The first archive that may still have to be deleted.
    pub first_kept: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Archive {
    pub newest: Timestamp,
    pub version: Option<Version>,
}

/// What a call to the platform is made for.
#[derive(Debug)]
pub(crate) enum Step {
    Load,
    Fetch { seq: u64 },
    Append(Segment),
    Store,
    Roll(Segment),
    Weigh { seq: u64 },
    Delete { seq: u64 },
}

impl View {
    pub fn new(version: Version, open: Segment, asked_at: Timestamp) -> View {
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
    pub fn advance(&mut self, version: Version, open: Segment, asked_at: Timestamp) {
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
    pub fn is_whole(&self) -> bool {
        self.next_archive >= self.open.seq
    }

    pub fn fold(&mut self) {
        if self.folded {
            return;
        }
        for record in &self.open.records {
            self.index.apply(self.open.seq, record);
        }
        self.folded = true;
    }

    pub fn resolve(&self, item: &Item, options: &Options) -> Option<Resolved> {
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

    pub fn may_write(&self, record: &Record) -> bool {
        match record.what {
            What::Claim => self.index.verdict(record.key, record.token).is_none(),
            What::Outcome(_) => true,
        }
    }

    pub fn appended(
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

    pub fn next_segment(&self, now: Timestamp, options: &Options, is_owner: bool) -> Segment {
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
    pub fn is_outdated(&self, now: Timestamp, options: &Options, is_owner: bool) -> bool {
        self.first_live(now, options, is_owner) > self.open.first_live
    }

    /// The first archive that is too young to be forgotten. Only the owner forgets, so
    /// that one wall clock decides.
    fn first_live(&self, now: Timestamp, options: &Options, is_owner: bool) -> u64 {
        let expired = |archive: &Archive| {
            archive.newest.after(options.key_life).after(options.clock_skew).is_due(now)
        };
        let mut first = self.open.first_live;
        while is_owner && self.archives.get(&first).is_some_and(expired) {
            first += 1;
        }
        first
    }

    pub fn take_reply(&mut self, step: Step, reply: Reply, asked_at: Timestamp) -> bool {
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
        let archive = Archive { newest: segment.newest, version: Some(version) };
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
        let archive = Archive { newest: self.open.newest, version };
        self.archives.insert(self.open.seq, archive);
        self.archived = true;
    }

    fn deleted(&mut self, seq: u64) {
        self.archives.remove(&seq);
        self.first_kept = self.first_kept.max(seq + 1);
    }
}
