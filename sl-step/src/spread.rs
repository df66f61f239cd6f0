//! How the accepted configuration reaches this instance: from the platform's head where
//! the instance is in line to watch it, from any peer that runs a higher revision
//! otherwise. Only a higher revision is ever put in force.

use std::{collections::BTreeMap, sync::Arc};

use sl_base::{
    InstanceId, Millis, Timestamp,
    call::{Call, CallId, Reply, Version},
};
use sl_config::{Head, Library, Page, PageHash, assemble::AssembleError, head};
use sl_fair::{Limits, Rule};

use crate::{Effect, Message, State, message::Running};

/// Instances that watch the head; the others hear of changes from them.
const WATCHERS: usize = 3;
/// The key of the watchers' role.
const WATCHER_ROLE: u64 = 2;
/// An instance that is not in line looks at the head all the same, once in this time for
/// each [`State::rest_periods`].
const LOOK_PERIOD: Millis = Millis(5_000);
/// How long after a failed call the platform is called again.
const RETRY_PERIOD: Millis = Millis(1_000);
/// How long after an answered watch the next one begins.
const WATCH_GAP: Millis = Millis(50);
/// How long a peer has to hand out what it was asked for.
const PEER_ANSWER: Millis = Millis(1_000);
/// Pages asked for in one go.
const PAGES_AT_ONCE: usize = 16;
/// Bytes of pages in one message.
const PAGES_BYTES_MAX: usize = 256 * 1_024;

/// What is known of the head and the pages under it.
#[derive(Debug, Default)]
pub(crate) struct Spread {
    head: Option<Arc<Head>>,
    library: Library,
    candidate: Option<Candidate>,
    calls: BTreeMap<CallId, Asked>,
    seen: Version,
    look_at: Timestamp,
    /// What was last asked of a peer, and until when it has to answer.
    asked: Option<(Running, Timestamp)>,
}

/// A higher head of which pages are still missing.
#[derive(Debug)]
struct Candidate {
    head: Arc<Head>,
    /// The peer that handed it out, or none where it came from the platform.
    from: Option<InstanceId>,
    /// When missing pages are asked for again, from the platform if a peer did not answer.
    ask_again_at: Timestamp,
}

/// What a call to the platform was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    Head,
    Page(PageHash),
}

impl Spread {
    pub(crate) fn has_config(&self) -> bool {
        self.head.is_some()
    }

    pub(crate) fn due(&self) -> Timestamp {
        let again = self.candidate.as_ref().map_or(Timestamp::NEVER, |it| it.ask_again_at);
        self.look_at.min(again)
    }

    /// Whether a peer that runs `theirs` is to be asked for it: once for each novelty,
    /// and again if the answer stays out.
    pub(crate) fn may_ask(&mut self, now: Timestamp, theirs: Running) -> bool {
        let asked_already = self.asked.is_some_and(|(running, until)| {
            let covered = running.revision >= theirs.revision && running.listing >= theirs.listing;
            covered && !until.is_due(now)
        });
        if !asked_already {
            self.asked = Some((theirs, now.after(PEER_ANSWER)));
        }
        !asked_already
    }

    fn revision(&self) -> sl_base::Revision {
        self.head.as_ref().map_or(sl_base::Revision(0), |it| it.revision)
    }
}

impl State {
    /// Watches or reads the head when it is time, and asks again for missing pages.
    pub(crate) fn follow_head(&mut self, now: Timestamp) {
        if self.spread.look_at.is_due(now) {
            self.look_at_head(now);
        }
        let again = self.spread.candidate.as_mut().filter(|it| it.ask_again_at.is_due(now));
        if let Some(candidate) = again {
            candidate.from = None;
            self.ask_for_pages(now);
        }
    }

    fn look_at_head(&mut self, now: Timestamp) {
        let key = head::KEY.to_owned();
        let watches = self.is_in_line(WATCHER_ROLE, WATCHERS);
        let (call, answer_by) = if watches && self.spread.seen != Version::ABSENT {
            let wait = Millis(self.options.watch_wait.0 + self.options.platform_answer.0);
            (Call::Watch { key, seen: self.spread.seen }, now.after(wait))
        } else {
            (Call::Get { key }, now.after(self.options.platform_answer))
        };
        let id = self.call(call, answer_by);
        self.spread.calls.insert(id, Asked::Head);
        self.spread.look_at = Timestamp::NEVER;
    }

    pub(crate) fn on_config_reply(&mut self, now: Timestamp, id: CallId, reply: Reply) {
        match self.spread.calls.remove(&id) {
            Some(Asked::Head) => self.on_head_reply(now, reply),
            Some(Asked::Page(hash)) => self.on_page_reply(hash, reply),
            None => {}
        }
    }

    fn on_head_reply(&mut self, now: Timestamp, reply: Reply) {
        let watches = self.is_in_line(WATCHER_ROLE, WATCHERS);
        let answered = !matches!(reply, Reply::Lost | Reply::Refused | Reply::Absent);
        self.spread.look_at = match (answered, watches || !self.spread.has_config()) {
            (false, _) => now.after(RETRY_PERIOD),
            (true, true) => now.after(WATCH_GAP),
            (true, false) => now.after(Millis(LOOK_PERIOD.0 * self.rest_periods())),
        };
        let Reply::Value { version, value } = reply else {
            return;
        };
        match Head::decode(&value) {
            Ok(head) => {
                self.spread.seen = version;
                self.consider(now, Arc::new(head), None);
            }
            Err(e) => self.note("the platform's head is damaged", e),
        }
    }

    fn on_page_reply(&mut self, hash: PageHash, reply: Reply) {
        let Reply::Value { value, .. } = reply else {
            return;
        };
        match Page::open(hash, &value) {
            Ok(page) => self.spread.library.insert(page),
            Err(e) => self.note("a page on the platform is damaged", e),
        }
        self.try_candidate();
    }

    /// Takes up a head if it is higher than what is known.
    pub(crate) fn consider(&mut self, now: Timestamp, head: Arc<Head>, from: Option<InstanceId>) {
        let known = self.spread.candidate.as_ref().map(|it| it.head.revision);
        let known = known.unwrap_or_default().max(self.spread.revision());
        if !head.supersedes(known) {
            return;
        }
        self.spread.candidate = Some(Candidate { head, from, ask_again_at: Timestamp::NEVER });
        self.try_candidate();
        if self.spread.candidate.is_some() {
            self.ask_for_pages(now);
        }
    }

    fn ask_for_pages(&mut self, now: Timestamp) {
        let Some(candidate) = &mut self.spread.candidate else {
            return;
        };
        candidate.ask_again_at = now.after(PEER_ANSWER);
        let mut missing = self.spread.library.missing(&candidate.head);
        missing.truncate(PAGES_AT_ONCE);
        if let Some(from) = candidate.from {
            self.say(from, Message::PagesWanted(missing));
            return;
        }
        let answer_by = now.after(self.options.platform_answer);
        for hash in missing {
            let asked = self.spread.calls.values().any(|it| *it == Asked::Page(hash));
            if !asked {
                let id = self.call(Call::Get { key: hash.key() }, answer_by);
                self.spread.calls.insert(id, Asked::Page(hash));
            }
        }
    }

    pub(crate) fn take_pages(&mut self, now: Timestamp, texts: &[String]) {
        for text in texts {
            if let Ok(page) = Page::new(text) {
                self.spread.library.insert(page);
            }
        }
        self.try_candidate();
        if self.spread.candidate.as_ref().is_some_and(|it| it.from.is_some()) {
            self.ask_for_pages(now);
        }
    }

    fn try_candidate(&mut self) {
        let Some(candidate) = &self.spread.candidate else {
            return;
        };
        let head = Arc::clone(&candidate.head);
        match self.spread.library.assemble(&head) {
            Ok(config) => {
                self.spread.candidate = None;
                self.spread.library.retain(&head);
                self.spread.head = Some(head);
                self.put_in_force(Arc::new(config));
            }
            Err(AssembleError::Missing(_)) => {}
            Err(e) => {
                self.spread.candidate = None;
                self.note("an accepted configuration can't be read here", e);
            }
        }
    }

    fn put_in_force(&mut self, config: Arc<sl_config::Config>) {
        let teams = config.templates().iter().flat_map(|it| &it.teams);
        self.fair.set_rules(teams.map(|it| {
            let limits = Limits { requests: it.queue_max, bytes: it.queue_bytes_max };
            (it.id, Rule { share: it.share, limits })
        }));
        self.waits.retain(|team| config.team(team).is_some());
        self.note("configuration in force", config.revision());
        self.config = Arc::clone(&config);
        self.effects.push(Effect::Publish(config));
        self.tell_running();
        self.moved.extend(self.fair.pools());
    }

    /// Hands a peer what it lacks.
    pub(crate) fn hand_out(&mut self, to: InstanceId, theirs: Running) {
        if let Some(head) = self.spread.head.clone().filter(|it| it.supersedes(theirs.revision)) {
            self.say(to, Message::Head(head));
        }
        if self.listing.version > theirs.listing {
            self.hand_listing(to);
        }
    }

    pub(crate) fn hand_out_pages(&mut self, to: InstanceId, wanted: &[PageHash]) {
        let mut texts = Vec::new();
        let mut bytes = 0;
        for page in wanted.iter().filter_map(|&hash| self.spread.library.page(hash)) {
            bytes += page.text().len();
            if !texts.is_empty() && bytes > PAGES_BYTES_MAX {
                break;
            }
            texts.push(page.text().to_owned());
        }
        if !texts.is_empty() {
            self.say(to, Message::Pages(texts));
        }
    }
}
