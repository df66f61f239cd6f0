//! What this instance holds of others' and its own homes' servers.

use std::collections::BTreeMap;

use sl_base::{InstanceId, Millis, PoolId, ServerId, Timestamp};

use crate::{
    Options,
    message::{Grant, Window},
};

/// One server's slots in this instance's hands.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Held {
    /// Slots that may be used.
    pub count: u32,
    /// Slots that run a request.
    pub busy: u32,
    /// Idle slots that the home just granted: it compared the needs of all, so they are
    /// used without comparing again.
    pub fresh: u32,
    /// Until when a request may be sent.
    pub dispatch_by: Timestamp,
    /// When the last request ended, or the window rose.
    pub used_at: Timestamp,
    /// When the window was last lowered here; older news does not raise it again.
    pub lowered_at: Timestamp,
}

impl Held {
    /// Slots with no request.
    pub fn idle(&self) -> u32 {
        self.count.saturating_sub(self.busy)
    }

    /// Whether a request may go out on an idle slot.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        self.idle() > 0 && !self.dispatch_by.is_due(now)
    }
}

/// The state towards one home.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    /// The number of the last grant that was taken.
    pub seen: u64,
    /// When the last renewal left.
    pub sent_at: Timestamp,
    /// Whether the last renewal told of nothing held and nothing wanted.
    pub sent_empty: bool,
    /// When the next renewal is due.
    pub renew_by: Timestamp,
    /// The waiting work that the last renewal told of.
    pub told: BTreeMap<PoolId, u32>,
}

impl Default for Link {
    fn default() -> Link {
        Link {
            seen: 0,
            sent_at: Timestamp::default(),
            sent_empty: false,
            renew_by: Timestamp::NEVER,
            told: BTreeMap::new(),
        }
    }
}

impl Link {
    /// Takes the home's word that it knows what left at `echo`; a home that knows that
    /// nothing is held or wanted needs no more renewals.
    pub fn confirm(&mut self, echo: Timestamp, every: Millis, keep_on: bool) {
        if echo < self.sent_at || keep_on {
            return;
        }
        let hastened = self.renew_by < self.sent_at.after(every);
        if self.sent_empty && !hastened {
            self.renew_by = Timestamp::NEVER;
        }
    }

    /// Asks for a renewal at `now`, but no sooner than `gap` after the last.
    pub fn hasten(&mut self, now: Timestamp, gap: Millis) {
        self.renew_by = self.renew_by.min(self.sent_at.after(gap).max(now));
    }
}

/// All windows and links.
#[derive(Debug, Default)]
pub(crate) struct Holder {
    pub held: BTreeMap<ServerId, Held>,
    pub links: BTreeMap<InstanceId, Link>,
    /// Until when homes may still learn of a change of members: they are told even that
    /// nothing is held, so that none waits for loans that do not exist.
    pub settle_until: Timestamp,
}

impl Holder {
    /// Takes a grant of `home` for `servers`, all that the home is home of; tells whether
    /// a window was lowered, which the home waits to hear.
    pub fn on_grant(
        &mut self,
        now: Timestamp,
        home: InstanceId,
        grant: &Grant,
        servers: &[ServerId],
        terms: &Options,
    ) -> bool {
        let link = self.links.entry(home).or_default();
        if grant.number <= link.seen {
            return false;
        }
        link.seen = grant.number;
        let keep_on = !self.settle_until.is_due(now);
        link.confirm(grant.echo, terms.renew_every, keep_on);
        let granted: BTreeMap<ServerId, u32> =
            grant.windows.iter().map(|window| (window.server, window.count)).collect();
        let mut lowered = false;
        for server in servers {
            let count = granted.get(server).copied();
            lowered |= self.take(now, *server, count, grant.echo, terms.lease);
        }
        lowered
    }

    fn take(
        &mut self,
        now: Timestamp,
        server: ServerId,
        granted: Option<u32>,
        echo: Timestamp,
        lease: Millis,
    ) -> bool {
        if granted.is_none() && !self.held.contains_key(&server) {
            return false;
        }
        let held = self.held.entry(server).or_default();
        let before = held.count;
        let count = granted.unwrap_or(0);
        held.count = if held.lowered_at > echo { count.min(before) } else { count };
        if granted.is_some() {
            held.dispatch_by = held.dispatch_by.max(echo.after(lease));
        }
        if held.count > before {
            held.used_at = now;
            held.fresh += held.count - before;
        }
        held.fresh = held.fresh.min(held.idle());
        if held.lowered_at <= echo {
            held.lowered_at = Timestamp::default();
        }
        let lowered = held.count < before;
        self.forget_empty(server);
        lowered
    }

    /// Gives idle slots of `server` up.
    pub fn lower(&mut self, now: Timestamp, server: ServerId, by: u32) {
        let Some(held) = self.held.get_mut(&server) else {
            return;
        };
        held.count -= by.min(held.idle());
        held.fresh = held.fresh.min(held.idle());
        held.lowered_at = now;
    }

    /// Forgets a server that is neither held nor used; the mark against older news goes
    /// with it, once the home confirmed.
    pub fn forget_empty(&mut self, server: ServerId) {
        let empty = |held: &Held| {
            held.count == 0 && held.busy == 0 && held.lowered_at == Timestamp::default()
        };
        if self.held.get(&server).is_some_and(empty) {
            self.held.remove(&server);
        }
    }

    /// The windows of `servers` as they are told to their home.
    pub fn windows(&self, servers: &[ServerId]) -> Vec<Window> {
        servers
            .iter()
            .filter_map(|&server| {
                let held = self.held.get(&server)?;
                (held.count > 0 || held.busy > 0).then_some(Window {
                    server,
                    count: held.count,
                    busy: held.busy,
                })
            })
            .collect()
    }
}
