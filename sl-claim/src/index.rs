//! What a shard's records say of each key.

use std::collections::BTreeMap;

use sl_base::hash::KeyHash;

use crate::{
    Token, Verdict,
    segment::{Fate, Record, What},
};

/// The keys of a shard's live segments.
#[derive(Clone, Debug, Default)]
pub struct Index {
    entries: BTreeMap<KeyHash, Entry>,
}

/// The latest claim on a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The claimant.
    pub token: Token,
    /// The outcome, where one is recorded.
    pub fate: Option<Fate>,
    /// The segment of the latest record.
    pub seq: u64,
}

impl Entry {
    /// Whether the claim is given up, so that the key may be claimed anew.
    pub fn is_released(&self) -> bool {
        self.fate == Some(Fate::NotRun)
    }
}

impl Index {
    /// Takes a record of segment `seq` in. Records are taken in their order; to take a
    /// whole segment again changes nothing.
    pub fn apply(&mut self, seq: u64, record: &Record) {
        match record.what {
            What::Claim => self.apply_claim(seq, record),
            What::Outcome(fate) => self.apply_outcome(seq, record, fate),
        }
    }

    /// What `token` is to be told of `key`; none where the key is free for it.
    pub fn verdict(&self, key: KeyHash, token: Token) -> Option<Verdict> {
        let entry = self.entries.get(&key)?;
        match entry.fate {
            Some(Fate::NotRun) if entry.token == token => Some(Verdict::Unknown),
            Some(Fate::NotRun) => None,
            Some(Fate::Ran { status }) => Some(Verdict::Ran { status }),
            Some(Fate::Unknown) => Some(Verdict::Unknown),
            None if entry.token == token => Some(Verdict::Granted),
            None => Some(Verdict::Unknown),
        }
    }

    /// The latest claim on `key`.
    pub fn get(&self, key: KeyHash) -> Option<&Entry> {
        self.entries.get(&key)
    }

    /// Forgets the keys whose latest record is in a segment before `first_live`.
    pub fn forget_before(&mut self, first_live: u64) {
        self.entries.retain(|_, entry| entry.seq >= first_live);
    }

    /// How many keys are known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn apply_claim(&mut self, seq: u64, record: &Record) {
        let free = self.entries.get(&record.key).is_none_or(Entry::is_released);
        if free {
            let entry = Entry { token: record.token, fate: None, seq };
            self.entries.insert(record.key, entry);
        }
    }

    fn apply_outcome(&mut self, seq: u64, record: &Record, fate: Fate) {
        let settled = Entry { token: record.token, fate: Some(fate), seq };
        let entry = self.entries.entry(record.key).or_insert(settled);
        let is_own = entry.token == record.token && entry.fate.is_none();
        // A release that comes before its claim keeps that claim from ever being made.
        let is_early = entry.token != record.token && entry.is_released();
        if is_own || (is_early && fate == Fate::NotRun) {
            *entry = settled;
        }
    }
}
