//! Callers: what they ask for, how often, and what they do when they are refused.

use rand::{Rng, RngExt};
use sl_base::Millis;
use sl_route::{Prompt, PromptPart};
use strum::{Display, EnumIter, EnumString};

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// The part of all requests that are of it.
    pub share: f64,
    /// Tokens of the part that others have too.
    pub shared: u32,
    /// Tokens of its own.
    pub own: u32,
    /// Tokens of the answer.
    pub out: u32,
    /// When the first token should come.
    pub objective: Millis,
    /// When the caller leaves.
    pub deadline: Millis,
    /// What an answer is worth, in time and late.
    pub worth: f64,
    /// The same for one that comes late.
    pub late_worth: f64,
}

/// The kinds of request.
pub const KINDS: [Kind; 3] = [
    Kind {
        name: "long",
        share: 0.33,
        shared: 12_000,
        own: 3_500,
        out: 120,
        objective: Millis(1_000),
        deadline: Millis(8_000),
        worth: 3.0,
        late_worth: 0.9,
    },
    Kind {
        name: "medium",
        share: 0.25,
        shared: 6_000,
        own: 2_500,
        out: 60,
        objective: Millis(800),
        deadline: Millis(5_000),
        worth: 2.5,
        late_worth: 0.8,
    },
    Kind {
        name: "short",
        share: 0.42,
        shared: 400,
        own: 1_000,
        out: 160,
        objective: Millis(800),
        deadline: Millis(8_000),
        worth: 0.4,
        late_worth: 0.1,
    },
];

/// A named load. What it adds to the calm one happens in [`Load::DISTURBED`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Load {
    /// The usual.
    Calm,
    /// 1.7 times as many requests.
    Burst,
    /// 2.5 times as many requests.
    Flood,
    /// A third of the long requests are about one thing.
    HotPart,
    /// One team asks for 7.5 times its usual.
    GreedyTeam,
    /// Half of the engines are lost.
    HalfLost,
    /// 1.7 times as many requests, and refused callers come again at once, four times.
    Impatient,
}

/// Requests a second for each engine on a calm day.
const RATE: f64 = 10.8;

/// Things that the requests of one kind are about, for each engine.
const THINGS: usize = 9;

/// How unevenly they are asked for.
const SKEW: f64 = 0.3;

/// Teams; the first one asks for much, the others for less and less.
pub(super) const TEAMS: usize = 12;

impl Load {
    /// When the disturbance is, in milliseconds from the start.
    pub const DISTURBED: std::ops::Range<u64> = 20_000..25_000;

    pub(super) fn is_on(self, millis: u64) -> bool {
        self != Load::Calm && Load::DISTURBED.contains(&millis)
    }

    /// Requests a second at a time.
    pub(super) fn rate(self, millis: u64, engines: usize) -> f64 {
        let times = match self {
            Load::Burst | Load::Impatient if self.is_on(millis) => 1.7,
            Load::Flood if self.is_on(millis) => 2.5,
            Load::GreedyTeam if self.is_on(millis) => 1.0 + 6.5 * team_share(GREEDY),
            _ => 1.0,
        };
        RATE * engines as f64 * times
    }

    /// How often a refused caller comes again.
    pub(super) fn tries(self) -> u32 {
        if self == Load::Impatient { 4 } else { 1 }
    }

    /// Whether a refused caller heeds when it is to come back.
    pub(super) fn heeds(self) -> bool {
        self != Load::Impatient
    }
}

/// The team that turns greedy.
const GREEDY: usize = 2;

fn team_share(team: usize) -> f64 {
    let all: f64 = (0..TEAMS).map(|it| 1.0 / (it + 1) as f64).sum();
    1.0 / (team + 1) as f64 / all
}

/// A caller's request.
#[derive(Clone, Debug)]
pub(super) struct Asked {
    pub(super) kind: usize,
    pub(super) team: usize,
    pub(super) prompt: Prompt,
    pub(super) at_ms: u64,
    pub(super) tries_left: u32,
}

/// Draws the request that comes at `millis`.
pub(super) fn draw(rng: &mut impl Rng, load: Load, millis: u64, engines: usize) -> Asked {
    let kind = pick(rng, KINDS.iter().map(|it| it.share));
    let greedy = |team: usize| {
        let is_greedy = load == Load::GreedyTeam && load.is_on(millis) && team == GREEDY;
        if is_greedy { 7.5 } else { 1.0 }
    };
    let team = pick(rng, (0..TEAMS).map(|it| team_share(it) * greedy(it)));
    let is_hot = load == Load::HotPart && load.is_on(millis) && kind == 0 && rng.random_bool(0.33);
    let things = THINGS * engines;
    let thing = pick(rng, (0..things).map(|it| ((it + 1) as f64).powf(-SKEW)));
    let thing = if is_hot { 0 } else { thing };
    let Kind { shared, own, out, name, .. } = KINDS[kind];
    let own = spread(rng, own);
    let prompt = Prompt {
        parts: vec![
            PromptPart::new("m", &format!("{name}-{thing}"), shared),
            PromptPart::new("m", &format!("own-{}", rng.random::<u64>()), own),
        ],
        input_tokens: shared + own,
        max_output_tokens: spread(rng, out),
        expected_output_tokens: None,
    };
    Asked { kind, team, prompt, at_ms: millis, tries_left: load.tries() }
}

/// A size between half and one and a half of the usual.
fn spread(rng: &mut impl Rng, usual: u32) -> u32 {
    (f64::from(usual) * rng.random_range(0.5..1.5)) as u32
}

fn pick(rng: &mut impl Rng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let mut drawn = rng.random_range(0.0..weights.clone().sum::<f64>());
    for (at, weight) in weights.enumerate() {
        if drawn < weight {
            return at;
        }
        drawn -= weight;
    }
    0
}
