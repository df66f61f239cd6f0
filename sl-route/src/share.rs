//! Teams' shares of what the engines produce, over a few seconds.

use std::collections::HashMap;

use sl_base::{Millis, TeamId, Timestamp};

/// What each team asked for and was given by the whole fleet, in tokens.
#[derive(Clone, Debug)]
pub struct Shares {
    window: Millis,
    slice_ends: Timestamp,
    slice: usize,
    teams: HashMap<TeamId, Use>,
    level: f64,
    level_until: Timestamp,
}

#[derive(Clone, Copy, Debug, Default)]
struct Use {
    asked: [u64; SLICES],
    given: [u64; SLICES],
}

/// Slices of the window; the oldest is dropped as a whole.
const SLICES: usize = 8;

/// How long a level that was worked out is used.
const LEVEL_KEPT: Millis = Millis(100);

/// Up to this many times of what is given may be asked for before anybody counts as short:
/// a request is asked for a moment before it is given.
const ENOUGH: f64 = 1.05;

/// Teams that are told apart.
const TEAMS_MAX: usize = 8_192;

impl Shares {
    /// Shares over `window`.
    pub fn new(now: Timestamp, window: Millis) -> Shares {
        Shares {
            window,
            slice_ends: now,
            slice: 0,
            teams: HashMap::new(),
            level: f64::INFINITY,
            level_until: now,
        }
    }

    /// Counts what a request of `team` asks for.
    pub fn asked(&mut self, now: Timestamp, team: TeamId, tokens: u32) {
        self.turn(now);
        let slice = self.slice;
        if let Some(used) = self.entry(team) {
            used.asked[slice] += u64::from(tokens);
        }
    }

    /// Counts what a request of `team` was given.
    pub fn given(&mut self, now: Timestamp, team: TeamId, tokens: u32) {
        self.turn(now);
        let slice = self.slice;
        if let Some(used) = self.entry(team) {
            used.given[slice] += u64::from(tokens);
        }
    }

    /// Takes back what the team was given lately and did not get.
    pub fn returned(&mut self, now: Timestamp, team: TeamId, tokens: u32) {
        self.turn(now);
        let Some(used) = self.teams.get_mut(&team) else {
            return;
        };
        let mut left = u64::from(tokens);
        for back in 0..SLICES {
            let given = &mut used.given[(self.slice + SLICES - back) % SLICES];
            let taken = left.min(*given);
            *given -= taken;
            left -= taken;
        }
    }

    /// What the team was given in the window over its max-min share of what all were given;
    /// 1 is the whole share. While all get what they ask for nobody has a share.
    pub fn used(&mut self, now: Timestamp, team: TeamId) -> f64 {
        self.turn(now);
        if self.level_until.is_due(now) {
            self.level = self.level();
            self.level_until = now.after(LEVEL_KEPT);
        }
        let given = self.teams.get(&team).map_or(0, |it| it.given.iter().sum::<u64>());
        given as f64 / self.level
    }

    /// Whether the team asks for no more than its share, while others ask for more than
    /// theirs.
    pub fn is_modest(&mut self, now: Timestamp, team: TeamId) -> bool {
        self.used(now, team);
        let asked = self.teams.get(&team).map_or(0, |it| it.asked.iter().sum::<u64>());
        self.level.is_finite() && asked as f64 <= self.level
    }

    /// The share at which what was given is given out in full: every team gets what it asks
    /// for, or this much.
    fn level(&self) -> f64 {
        let given: u64 = self.teams.values().flat_map(|it| it.given).sum();
        let mut asked: Vec<u64> = self.teams.values().map(|it| it.asked.iter().sum()).collect();
        if asked.iter().sum::<u64>() as f64 <= given as f64 * ENOUGH {
            return f64::INFINITY;
        }
        if asked.iter().filter(|it| **it > 0).count() < 2 {
            // Nobody else waits.
            return f64::INFINITY;
        }
        asked.sort_unstable();
        let mut left = given as f64;
        for (at, &asks) in asked.iter().enumerate() {
            let even = left / (asked.len() - at) as f64;
            if asks as f64 > even {
                return even.max(1.0);
            }
            left -= asks as f64;
        }
        f64::INFINITY
    }

    fn entry(&mut self, team: TeamId) -> Option<&mut Use> {
        if self.teams.len() >= TEAMS_MAX && !self.teams.contains_key(&team) {
            return None;
        }
        Some(self.teams.entry(team).or_default())
    }

    fn turn(&mut self, now: Timestamp) {
        let slice_span = Millis((self.window.0 / SLICES as u64).max(1));
        let mut turned = 0;
        while self.slice_ends.is_due(now) && turned < SLICES {
            self.slice = (self.slice + 1) % SLICES;
            let slice = self.slice;
            for used in self.teams.values_mut() {
                used.asked[slice] = 0;
                used.given[slice] = 0;
            }
            self.slice_ends = self.slice_ends.after(slice_span);
            turned += 1;
        }
        if turned == SLICES {
            self.slice_ends = now.after(slice_span);
            self.teams.clear();
        }
    }
}
