//! The demand of callers at this instance, relative to that at all instances.

use sl_base::{IdMap, Millis, TeamId, Timestamp};

/// Counts of the model requests of each team that decay with time.
///
/// The counts are stored multiplied by a weight that grows with time, so that a request is counted
/// without visiting the other teams.
#[derive(Clone, Debug)]
pub struct Demand {
    teams: IdMap<TeamId, TeamDemand>,
    /// When the weight of a request was 1.
    weight_from: Timestamp,
}

#[derive(Clone, Copy, Debug, Default)]
struct TeamDemand {
    /// Requests that arrived at this instance.
    own: f64,
    /// Requests that arrived at any instance.
    all: f64,
    /// Tokens of these.
    tokens: f64,
}

/// The time in which a request counts half.
const HALF_LIFE: Millis = Millis(2_000);

/// The counts are divided by the weight after this time.
const RESCALE_INTERVAL: Millis = Millis(40_000);

/// A team with fewer requests, counted as of now, is forgotten.
const REQUESTS_MIN: f64 = 0.001;

/// Bound on the number of teams; requests of further ones are not counted.
const TEAMS_MAX: usize = 8_192;

impl Demand {
    /// No demand so far.
    pub fn new(now: Timestamp) -> Demand {
        Demand { teams: IdMap::default(), weight_from: now }
    }

    /// Counts a request that arrived at this instance.
    pub fn record_own(&mut self, now: Timestamp, team: TeamId, tokens: u32) {
        let weight = self.rescaled_weight(now);
        if let Some(demand) = self.team(team) {
            demand.own += weight;
            demand.add(weight, tokens);
        }
    }

    /// Counts a request that arrived at a peer.
    pub fn record_peer(&mut self, now: Timestamp, team: TeamId, tokens: u32) {
        let weight = self.rescaled_weight(now);
        if let Some(demand) = self.team(team) {
            demand.add(weight, tokens);
        }
    }

    /// The part of the requests that arrived at this instance, from 0 to 1, where each team counts
    /// with what it may get: its demand, but no more than `fair_rate` tokens a second, if there is
    /// a limit. `None` without any request.
    ///
    /// So a team that asks for much does not draw places away from the instance at which the
    /// callers of another team arrive.
    pub fn own_share(&self, now: Timestamp, fair_rate: Option<f64>) -> Option<f64> {
        let counted_s = HALF_LIFE.0 as f64 / MILLIS_PER_SECOND / std::f64::consts::LN_2;
        let fair_tokens = fair_rate.map_or(f64::INFINITY, |it| it * counted_s * self.weight(now));
        let (mut own, mut all) = (0.0, 0.0);
        for demand in self.teams.values().filter(|it| it.all > 0.0) {
            let due = (fair_tokens / demand.tokens.max(1.0)).min(1.0);
            own += demand.own * due;
            all += demand.all * due;
        }
        (all > 0.0).then(|| own / all)
    }

    fn team(&mut self, team: TeamId) -> Option<&mut TeamDemand> {
        if self.teams.len() >= TEAMS_MAX && !self.teams.contains_key(&team) {
            return None;
        }
        Some(self.teams.entry(team).or_default())
    }

    /// The weight of a request that arrives at `now`.
    fn weight(&self, now: Timestamp) -> f64 {
        (now.millis_since(self.weight_from) / HALF_LIFE.0 as f64).exp2()
    }

    /// The same, after dividing the counts by it if it has become large.
    fn rescaled_weight(&mut self, now: Timestamp) -> f64 {
        let weight = self.weight(now);
        if !self.weight_from.after(RESCALE_INTERVAL).is_due(now) {
            return weight;
        }
        self.weight_from = now;
        for demand in self.teams.values_mut() {
            demand.own /= weight;
            demand.all /= weight;
            demand.tokens /= weight;
        }
        self.teams.retain(|_, it| it.all >= REQUESTS_MIN);
        1.0
    }
}

const MILLIS_PER_SECOND: f64 = 1_000.0;

impl TeamDemand {
    fn add(&mut self, weight: f64, tokens: u32) {
        self.all += weight;
        self.tokens += weight * f64::from(tokens);
    }
}
