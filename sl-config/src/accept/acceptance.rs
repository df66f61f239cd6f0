//! One operator's attempt, from reading the head to knowing what came of it.

use std::collections::BTreeSet;

use sl_base::{
    Revision,
    call::{Call, Reply, Version},
};

use super::{Conflict, Edit, Stamp, plan};
use crate::{
    assemble::{AssembleError, Library},
    head::{self, Head},
    page::{Page, PageHash},
};

/// What to do next.
#[derive(Clone, Debug)]
pub enum Next {
    /// Make this call and give its reply to [`Acceptance::step`].
    Call(Call),
    /// It is over.
    Done(Box<Ended>),
}

/// How an acceptance ended.
#[derive(Clone, Debug)]
pub enum Ended {
    /// The edits are accepted.
    Accepted {
        /// The revision that accepted them.
        revision: Revision,
    },
    /// The edits are what is accepted already.
    Unchanged {
        /// The revision that was read.
        revision: Revision,
    },
    /// Somebody else changed a template first; nothing was accepted.
    Conflict(Conflict),
    /// The configuration would have faults; nothing was accepted.
    Faulty(AssembleError),
    /// Others were faster each time; nothing was accepted.
    Busy,
    /// The head would be too large for the platform; nothing was accepted.
    TooLarge,
    /// The head or a page in the platform's service is not what it should be; nothing was accepted.
    Damaged(String),
    /// The platform gave no answer; nothing was accepted.
    Unreachable,
    /// The platform gave no answer to the last write, which may or may not have taken effect.
    Unknown,
}

/// Replies that may be lost or refused before an acceptance gives up.
pub const FAILURES_MAX: u32 = 8;

/// Times that an acceptance plans anew because another change came first.
pub const PLANS_MAX: u32 = 64;

/// One operator's attempt to have edits accepted.
#[derive(Clone, Debug)]
pub struct Acceptance {
    stamp: Stamp,
    edits: Vec<Edit>,
    library: Library,
    stored: BTreeSet<PageHash>,
    phase: Phase,
    undecided: Option<Undecided>,
    failures: u32,
    plans: u32,
}

/// A write of the head that got no answer.
#[derive(Clone, Copy, Debug)]
struct Undecided {
    expect: Version,
    revision: Revision,
}

#[derive(Clone, Debug)]
enum Phase {
    ReadHead,
    FetchPage(PageHash, Planned),
    WritePage(PageHash, Planned),
    WriteHead(Planned),
}

#[derive(Clone, Debug)]
struct Planned {
    expect: Version,
    head: Box<Head>,
}

impl Acceptance {
    /// Starts to accept `edits`; the first call reads the head.
    pub fn new(stamp: Stamp, edits: Vec<Edit>) -> Acceptance {
        let mut library = Library::default();
        for page in edits.iter().filter_map(|it| it.after.clone()) {
            library.insert(page);
        }
        Acceptance {
            stamp,
            edits,
            library,
            stored: BTreeSet::new(),
            phase: Phase::ReadHead,
            undecided: None,
            failures: 0,
            plans: 0,
        }
    }

    /// The call to make first.
    pub fn first(&self) -> Call {
        read_head()
    }

    /// Learns the reply to the last call and says what to do next.
    pub fn step(&mut self, reply: Reply) -> Next {
        let phase = std::mem::replace(&mut self.phase, Phase::ReadHead);
        if matches!(reply, Reply::Lost | Reply::Refused) {
            return self.on_failure(phase, &reply);
        }
        match phase {
            Phase::ReadHead => self.on_head(reply),
            Phase::FetchPage(hash, planned) => self.on_page(hash, planned, &reply),
            Phase::WritePage(hash, planned) => self.on_page_written(hash, planned, &reply),
            Phase::WriteHead(planned) => self.on_head_written(&planned, &reply),
        }
    }

    fn on_failure(&mut self, phase: Phase, reply: &Reply) -> Next {
        if let (Phase::WriteHead(planned), Reply::Lost) = (&phase, reply) {
            self.undecided =
                Some(Undecided { expect: planned.expect, revision: planned.head.revision });
        }
        self.failures += 1;
        if self.failures >= FAILURES_MAX {
            return self.decided(Ended::Unreachable);
        }
        match phase {
            Phase::ReadHead | Phase::WriteHead(_) => self.read_head(),
            Phase::FetchPage(hash, planned) => self.fetch(hash, planned),
            Phase::WritePage(hash, planned) => self.write_page(hash, planned),
        }
    }

    fn on_head(&mut self, reply: Reply) -> Next {
        let (version, head) = match reply {
            Reply::Value { version, value } => match Head::decode(&value) {
                Ok(head) => (version, head),
                Err(e) => return self.damaged(e.to_string()),
            },
            Reply::Absent => (Version::ABSENT, Head::default()),
            other => return self.damaged(format!("a read of the head was answered by {other:?}")),
        };
        if let Some(change) = head.change(self.stamp.id) {
            let revision = change.revision;
            return done(Ended::Accepted { revision });
        }
        if !self.settle_undecided(version, &head) {
            return done(Ended::Unknown);
        }
        self.plan(version, &head)
    }

    /// Learns from a head without the own change what became of an unanswered write.
    /// Whether that could be learnt.
    fn settle_undecided(&mut self, version: Version, head: &Head) -> bool {
        let Some(undecided) = self.undecided else {
            return true;
        };
        if version == undecided.expect {
            // It may still take effect, unless the same write, made again, comes first.
            return true;
        }
        // Past the version that it expected, it cannot take effect any more; had it done
        // so, the history would hold it, for as long as a history is.
        let reached = head.reaches_back_to() < undecided.revision;
        if reached {
            self.undecided = None;
        }
        reached
    }

    fn plan(&mut self, expect: Version, head: &Head) -> Next {
        let seen = self.edits.iter().map(|it| it.base.revision).max();
        if seen > Some(head.revision) {
            return self.damaged(format!(
                "the head is at revision {}, but the edit is based on a later one",
                head.revision
            ));
        }
        self.plans += 1;
        if self.plans > PLANS_MAX {
            return self.decided(Ended::Busy);
        }
        match plan(head, &self.edits, &self.stamp) {
            Ok(Some(next)) => self.gather(Planned { expect, head: Box::new(next) }),
            Ok(None) => self.decided(Ended::Unchanged { revision: head.revision }),
            Err(conflict) => self.decided(Ended::Conflict(*conflict)),
        }
    }

    /// Fetches what the checks need, then writes what the head will name.
    fn gather(&mut self, planned: Planned) -> Next {
        if let Some(&hash) = self.library.missing(&planned.head).first() {
            return self.fetch(hash, planned);
        }
        if let Err(e) = self.library.assemble(&planned.head) {
            return self.decided(Ended::Faulty(e));
        }
        self.store(planned)
    }

    fn store(&mut self, planned: Planned) -> Next {
        let own = self.edits.iter().filter_map(|it| it.after.as_ref());
        let unstored = own.map(Page::hash).find(|it| !self.stored.contains(it));
        match unstored {
            Some(hash) => self.write_page(hash, planned),
            None => self.write_head(planned),
        }
    }

    fn on_page(&mut self, hash: PageHash, planned: Planned, reply: &Reply) -> Next {
        let Reply::Value { value, .. } = reply else {
            return self.damaged(format!("the page {hash} is missing"));
        };
        match Page::open(hash, value) {
            Ok(page) => {
                self.library.insert(page);
                self.stored.insert(hash);
                self.gather(planned)
            }
            Err(e) => self.damaged(e.to_string()),
        }
    }

    fn on_page_written(&mut self, hash: PageHash, planned: Planned, reply: &Reply) -> Next {
        match reply {
            Reply::Done { .. } => {
                self.stored.insert(hash);
                self.store(planned)
            }
            // Somebody wrote it before, or an unanswered write took effect.
            Reply::Conflict { .. } => self.fetch(hash, planned),
            other => self.damaged(format!("a write of {hash} was answered by {other:?}")),
        }
    }

    fn on_head_written(&mut self, planned: &Planned, reply: &Reply) -> Next {
        match reply {
            Reply::Done { .. } => done(Ended::Accepted { revision: planned.head.revision }),
            _ => self.read_head(),
        }
    }

    fn read_head(&mut self) -> Next {
        self.phase = Phase::ReadHead;
        Next::Call(read_head())
    }

    fn fetch(&mut self, hash: PageHash, planned: Planned) -> Next {
        self.phase = Phase::FetchPage(hash, planned);
        Next::Call(Call::Get { key: hash.key() })
    }

    fn write_page(&mut self, hash: PageHash, planned: Planned) -> Next {
        let Some(page) = self.library.page(hash) else {
            return self.damaged(format!("the page {hash} is missing"));
        };
        let value = page.bytes();
        self.phase = Phase::WritePage(hash, planned);
        Next::Call(Call::Put { key: hash.key(), expect: Version::ABSENT, value })
    }

    fn write_head(&mut self, planned: Planned) -> Next {
        let value = match planned.head.encode() {
            Ok(value) if value.len() <= head::BYTES_MAX => value,
            _ => return self.decided(Ended::TooLarge),
        };
        let expect = planned.expect;
        self.phase = Phase::WriteHead(planned);
        Next::Call(Call::Put { key: head::KEY.to_owned(), expect, value })
    }

    fn damaged(&self, what: String) -> Next {
        self.decided(Ended::Damaged(what))
    }

    /// Ends with `ended`, which says that nothing was accepted, where that is certain.
    fn decided(&self, ended: Ended) -> Next {
        match self.undecided {
            Some(_) => done(Ended::Unknown),
            None => done(ended),
        }
    }
}

fn read_head() -> Call {
    Call::Get { key: head::KEY.to_owned() }
}

fn done(ended: Ended) -> Next {
    Next::Done(Box::new(ended))
}
