//! Teams' shares of what the engines produce, over a few seconds.

use std::collections::HashMap;

use sl_base::{Millis, TeamId, Timestamp};

/// What each team asked for and was given by the whole fleet, in tokens.
#[derive(Clone, Debug)]
pub struct Shares {
    window: Millis,
    slice_end: Timestamp,
    slice: usize,
    teams: HashMap<TeamId, TeamUsage>,
    fair_share: f64,
    fair_share_refresh_at: Timestamp,
}

#[derive(Clone, Copy, Debug, Default)]
struct TeamUsage {
    requested: [u64; WINDOW_SLICES],
    granted: [u64; WINDOW_SLICES],
}

/// Slices of the window; the oldest is dropped as a whole.
const WINDOW_SLICES: usize = 8;

/// How long a level that was worked out is used.
const FAIR_SHARE_REFRESH: Millis = Millis(100);

/// Up to this many times of what is given may be asked for before anybody counts as short:
/// a request is asked for a moment before it is given.
const DEMAND_TOLERANCE: f64 = 1.05;

/// Teams that are told apart.
const TEAMS_MAX: usize = 8_192;

impl Shares {
    /// Shares over `window`.
    pub fn new(now: Timestamp, window: Millis) -> Shares {
        Shares {
            window,
            slice_end: now,
            slice: 0,
            teams: HashMap::new(),
            fair_share: f64::INFINITY,
            fair_share_refresh_at: now,
        }
    }

    /// Counts what a request of `team` asks for.
    pub fn record_requested(&mut self, now: Timestamp, team: TeamId, tokens: u32) {
        self.advance(now);
        let slice = self.slice;
        if let Some(usage) = self.team_usage(team) {
            usage.requested[slice] += u64::from(tokens);
        }
    }

    /// Counts what a request of `team` was given.
    pub fn record_granted(&mut self, now: Timestamp, team: TeamId, tokens: u32) {
        self.advance(now);
        let slice = self.slice;
        if let Some(usage) = self.team_usage(team) {
            usage.granted[slice] += u64::from(tokens);
        }
    }

    /// Takes back what the team was given lately and did not get.
    pub fn record_refund(&mut self, now: Timestamp, team: TeamId, tokens: u32) {
        self.advance(now);
        let Some(usage) = self.teams.get_mut(&team) else {
            return;
        };
        let mut remaining = u64::from(tokens);
        for age in 0..WINDOW_SLICES {
            let granted = &mut usage.granted[(self.slice + WINDOW_SLICES - age) % WINDOW_SLICES];
            let refunded = remaining.min(*granted);
            *granted -= refunded;
            remaining -= refunded;
        }
    }

    /// What the team was given in the window over its max-min share of what all were given;
    /// 1 is the whole share. While all get what they ask for nobody has a share.
    pub fn usage(&mut self, now: Timestamp, team: TeamId) -> f64 {
        self.advance(now);
        if self.fair_share_refresh_at.is_due(now) {
            self.fair_share = self.compute_fair_share();
            self.fair_share_refresh_at = now.after(FAIR_SHARE_REFRESH);
        }
        let granted = self.teams.get(&team).map_or(0, |it| it.granted.iter().sum::<u64>());
        granted as f64 / self.fair_share
    }

    /// Whether the team asks for no more than its share, while others ask for more than
    /// theirs.
    pub fn is_under_share(&mut self, now: Timestamp, team: TeamId) -> bool {
        self.usage(now, team);
        let requested = self.teams.get(&team).map_or(0, |it| it.requested.iter().sum::<u64>());
        self.fair_share.is_finite() && requested as f64 <= self.fair_share
    }

    /// The share at which what was given is given out in full: every team gets what it asks
    /// for, or this much.
    fn compute_fair_share(&self) -> f64 {
        let granted: u64 = self.teams.values().flat_map(|it| it.granted).sum();
        let mut requested: Vec<u64> =
            self.teams.values().map(|it| it.requested.iter().sum()).collect();
        if requested.iter().sum::<u64>() as f64 <= granted as f64 * DEMAND_TOLERANCE {
            return f64::INFINITY;
        }
        if requested.iter().filter(|it| **it > 0).count() < 2 {
            // Nobody else waits.
            return f64::INFINITY;
        }
        requested.sort_unstable();
        let mut remaining = granted as f64;
        for (at, &demand) in requested.iter().enumerate() {
            let equal_split = remaining / (requested.len() - at) as f64;
            if demand as f64 > equal_split {
                return equal_split.max(1.0);
            }
            remaining -= demand as f64;
        }
        f64::INFINITY
    }

    fn team_usage(&mut self, team: TeamId) -> Option<&mut TeamUsage> {
        if self.teams.len() >= TEAMS_MAX && !self.teams.contains_key(&team) {
            return None;
        }
        Some(self.teams.entry(team).or_default())
    }

    fn advance(&mut self, now: Timestamp) {
        let slice_span = Millis((self.window.0 / WINDOW_SLICES as u64).max(1));
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
