//! Teams' fair shares of the engines' token capacity, over a sliding window.

use sl_base::{IdMap, Millis, TeamId, Timestamp};

/// Tokens requested by and granted to each team across all instances.
#[derive(Clone, Debug)]
pub struct Shares {
    window: Millis,
    slice_end: Timestamp,
    slice: usize,
    teams: IdMap<TeamId, TeamUsage>,
    fair_share: f64,
    shortfall: f64,
    fair_share_refresh_at: Timestamp,
}

/// A team's usage while demand exceeds capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ContendedUsage {
    /// Ratio of the tokens granted to the team to its fair share, or of what the team asks for now if
    /// that is less: a team that asks for less than its share is owed all of it, whatever it got
    /// while it asked for more.
    pub ratio: f64,
    /// Part of its fair share that the team worst off asked for and did not get, from 0 to 1.
    pub shortfall: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct TeamUsage {
    requested: [u64; WINDOW_SLICES],
    granted: [u64; WINDOW_SLICES],
}

/// Where a team stands relative to its fair share of what is scarce.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The team has used no more than its share.
    WithinShare,
    /// The team has used more than its share, so its requests are rejected first.
    OverShare,
}

/// Longest window. Teams are compared second by second (docs/design.md, "Shares and refusals"), and a limit on usage
/// over many seconds lets a team get the tokens of all of them in one. A shorter window makes the
/// limits swing, since usage at other instances is known late.
const WINDOW_MAX: Millis = Millis(2_000);

/// Slices of the window. Counts expire one slice at a time.
const WINDOW_SLICES: usize = 8;

/// Complete slices that count, with the current one, as what a team asked for lately. Two, so that
/// the gaps between the requests of a small team do not look like a change.
const RECENT_SLICES: usize = 2;

/// How long a computed fair share is used before it is computed again.
const FAIR_SHARE_REFRESH: Millis = Millis(100);

/// Ratio of requested to granted tokens up to which demand counts as satisfied. A request is
/// counted as requested slightly before it is counted as granted.
const DEMAND_TOLERANCE: f64 = 1.05;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Bound on the number of teams tracked; usage of further teams is not counted.
const TEAMS_MAX: usize = 8_192;

impl Shares {
    /// Creates empty counts over `window`, at most [`WINDOW_MAX`].
    pub fn new(now: Timestamp, window: Millis) -> Shares {
        Shares {
            window: window.min(WINDOW_MAX),
            slice_end: now,
            slice: 0,
            teams: IdMap::default(),
            fair_share: f64::INFINITY,
            shortfall: 0.0,
            fair_share_refresh_at: now,
        }
    }

    /// Counts the tokens that a request of `team` asks for.
    pub fn record_requested(&mut self, now: Timestamp, team: TeamId, tokens: u32) {
        self.advance(now);
        let slice = self.slice;
        if let Some(usage) = self.team_usage(team) {
            usage.requested[slice] += u64::from(tokens);
        }
    }

    /// Counts the tokens of a request of `team` that was sent to an engine.
    pub fn record_granted(&mut self, now: Timestamp, team: TeamId, tokens: u32) {
        self.advance(now);
        let slice = self.slice;
        if let Some(usage) = self.team_usage(team) {
            usage.granted[slice] += u64::from(tokens);
        }
    }

    /// Takes back granted tokens that the team did not get, from the latest slices first.
    pub fn record_refund(&mut self, now: Timestamp, team: TeamId, tokens: u32) {
        self.advance(now);
        let Some(usage) = self.teams.get_mut(&team) else {
            return;
        };
        let mut remaining = u64::from(tokens);
        for age in 0..WINDOW_SLICES {
            let granted = &mut usage.granted[slice_of_age(self.slice, age)];
            let refunded = remaining.min(*granted);
            *granted -= refunded;
            remaining -= refunded;
        }
    }

    /// Ratio of the tokens granted to the team in the window to its max-min fair share; 1
    /// means that the share is used up. The ratio is 0 while all demand is satisfied.
    pub fn share_usage(&mut self, now: Timestamp, team: TeamId) -> f64 {
        self.advance(now);
        if self.fair_share_refresh_at.is_due(now) {
            self.fair_share = self.compute_fair_share();
            self.shortfall = self.compute_shortfall();
            self.fair_share_refresh_at = now.after(FAIR_SHARE_REFRESH);
        }
        let granted = self.teams.get(&team).map_or(0, |it| it.granted.iter().sum::<u64>());
        granted as f64 / self.fair_share
    }

    /// The fair share in tokens of the window, as last computed; `None` while all demand is
    /// satisfied.
    pub fn fair_share(&self) -> Option<f64> {
        self.fair_share.is_finite().then_some(self.fair_share)
    }

    /// The fair share in tokens a second; `None` while all demand is satisfied.
    pub fn fair_rate(&self) -> Option<f64> {
        self.fair_share().map(|it| it / self.window.0 as f64 * MILLIS_PER_SECOND)
    }

    /// Ratio of what the team asked for lately to its fair share, both as rates: below 1, the share
    /// has room for all that the team asks for now. 0 while all demand is satisfied. The fair share is
    /// the one last computed.
    pub fn recent_demand(&mut self, now: Timestamp, team: TeamId) -> f64 {
        self.advance(now);
        let Some(usage) = self.teams.get(&team) else {
            return 0.0;
        };
        let recent = (0..=RECENT_SLICES).map(|age| usage.requested[slice_of_age(self.slice, age)]);
        let recent: u64 = recent.sum();
        let slice_ms = self.slice_span().0 as f64;
        let elapsed_ms = slice_ms - self.slice_end.remaining(now).0 as f64;
        let recent_ms = RECENT_SLICES as f64 * slice_ms + elapsed_ms;
        recent as f64 / recent_ms * self.window.0 as f64 / self.fair_share
    }

    /// The team's usage, or `None` while all demand is satisfied.
    pub fn contended_usage(&mut self, now: Timestamp, team: TeamId) -> Option<ContendedUsage> {
        let ratio = self.share_usage(now, team).min(self.recent_demand(now, team));
        self.fair_share().map(|_| ContendedUsage { ratio, shortfall: self.shortfall })
    }

    /// The max-min fair share, by water-filling: the limit at which the granted tokens suffice
    /// to give each team the smaller of its demand and the limit. Infinite while demand is
    /// satisfied, or while no other team competes for the tokens.
    fn compute_fair_share(&self) -> f64 {
        let granted: u64 = self.teams.values().flat_map(|it| it.granted).sum();
        let mut requested: Vec<u64> =
            self.teams.values().map(|it| it.requested.iter().sum()).collect();
        if requested.iter().sum::<u64>() as f64 <= granted as f64 * DEMAND_TOLERANCE {
            return f64::INFINITY;
        }
        if requested.iter().filter(|it| **it > 0).count() < 2 {
            return f64::INFINITY;
        }
        requested.sort_unstable();
        let mut remaining = granted as f64;
        for (index, &demand) in requested.iter().enumerate() {
            let equal_split = remaining / (requested.len() - index) as f64;
            if demand as f64 > equal_split {
                return equal_split.max(1.0);
            }
            remaining -= demand as f64;
        }
        f64::INFINITY
    }

    /// The largest part of the fair share that a team requested and was not granted.
    fn compute_shortfall(&self) -> f64 {
        let shortfall = |it: &TeamUsage| {
            let requested = it.requested.iter().sum::<u64>() as f64;
            let granted = it.granted.iter().sum::<u64>() as f64;
            (requested.min(self.fair_share) - granted) / self.fair_share
        };
        // With an infinite share nobody lacks anything.
        let shortfalls = self.teams.values().map(shortfall).filter(|it| it.is_finite());
        shortfalls.fold(0.0, f64::max)
    }

    fn team_usage(&mut self, team: TeamId) -> Option<&mut TeamUsage> {
        if self.teams.len() >= TEAMS_MAX && !self.teams.contains_key(&team) {
            return None;
        }
        Some(self.teams.entry(team).or_default())
    }

    fn slice_span(&self) -> Millis {
        Millis((self.window.0 / WINDOW_SLICES as u64).max(1))
    }

    fn advance(&mut self, now: Timestamp) {
        let slice_span = self.slice_span();
        let mut advanced = 0;
        while self.slice_end.is_due(now) && advanced < WINDOW_SLICES {
            self.slice = (self.slice + 1) % WINDOW_SLICES;
            let slice = self.slice;
            for usage in self.teams.values_mut() {
                usage.requested[slice] = 0;
                usage.granted[slice] = 0;
            }
            self.slice_end = self.slice_end.after(slice_span);
            advanced += 1;
        }
        if advanced == WINDOW_SLICES {
            self.slice_end = now.after(slice_span);
            self.teams.clear();
        }
    }
}

/// The index of the slice that is `age` slices older than the current one.
fn slice_of_age(current: usize, age: usize) -> usize {
    (current + WINDOW_SLICES - age) % WINDOW_SLICES
}
