//! The users' sites in the sizes of today: data centres, backend servers of differing
//! speeds, and teams, a few of them large.

use stand_ins::{Kind, Spec};

/// A site to be built on loopback.
#[derive(Clone, Debug)]
pub struct Site {
    /// Instances by name, with their data centre.
    pub instances: Vec<(String, String)>,
    /// Backend servers.
    pub servers: Vec<Spec>,
    /// The one template's name.
    pub template: &'static str,
    /// The template's routes.
    pub routes: String,
    /// Teams with their shares.
    pub teams: Vec<(String, u32)>,
}

/// The credential of a team of a [`Site`].
pub fn credential(team: &str) -> String {
    format!("{team}-credential-on-loopback")
}

impl Site {
    /// Bragdy Cymunedol Te Byw: drafting and booking.
    pub fn te_byw() -> Site {
        let centres = ["caerdydd", "abertawe", "aberystwyth", "bangor"];
        let engine = |n: usize| Kind::Engine {
            tokens_per_second: [40, 60, 90, 140][n % 4],
            prompt_tokens_per_second: [1_000, 2_000, 4_000, 8_000][n % 4],
            report_lag_ms: 500,
        };
        let plain = |n: usize| Kind::Plain { service_ms: [20, 40][n % 2] };
        let mut servers = fleet_of("drafting", 12, 4, &centres, engine);
        servers.extend(fleet_of("booking", 4, 8, &centres, plain));
        Site {
            instances: instances(9, &centres),
            servers,
            template: "te-byw",
            routes: TE_BYW_ROUTES.to_owned(),
            teams: teams(16),
        }
    }

    /// Tasman Highlands Water and Parks Authority: logbooks and the check-in service.
    pub fn tasman() -> Site {
        let centres = ["hobart", "launceston", "queenstown"];
        let engine = |n: usize| Kind::Engine {
            tokens_per_second: [30, 60, 120][n % 3],
            prompt_tokens_per_second: [1_000, 3_000, 6_000][n % 3],
            report_lag_ms: 500,
        };
        let plain = |n: usize| Kind::Plain { service_ms: [15, 30, 60][n % 3] };
        let mut servers = fleet_of("logbook", 9, 4, &centres, engine);
        servers.extend(fleet_of("check-in", 3, 8, &centres, plain));
        Site {
            instances: instances(9, &centres),
            servers,
            template: "tasman",
            routes: TASMAN_ROUTES.to_owned(),
            teams: teams(16),
        }
    }

    /// The same site with only the first `count` instances.
    pub fn with_instances(mut self, count: usize) -> Site {
        self.instances.truncate(count);
        self
    }

    /// The template's text.
    pub fn text(&self) -> String {
        let mut text = self.routes.clone();
        for (team, share) in &self.teams {
            let hash = blake3::hash(credential(team).as_bytes()).to_hex();
            text.push_str(&format!("\n[team {team}]\nshare = {share}\ncredential = {hash}\n"));
        }
        text
    }
}

fn instances(count: usize, centres: &[&str]) -> Vec<(String, String)> {
    (0..count)
        .map(|n| {
            let centre = centres[n % centres.len()];
            (format!("{centre}-{}", n / centres.len() + 1), centre.to_owned())
        })
        .collect()
}

fn fleet_of(
    pool: &str,
    count: usize,
    slots: u32,
    centres: &[&str],
    kind: impl Fn(usize) -> Kind,
) -> Vec<Spec> {
    (0..count)
        .map(|n| Spec {
            name: format!("{pool}-{}", n + 1),
            pool: pool.to_owned(),
            data_centre: centres[n % centres.len()].to_owned(),
            listen: ([127, 0, 0, 1], 0).into(),
            slots,
            kind: kind(n),
        })
        .collect()
}

/// Teams of which the first few are large.
fn teams(count: usize) -> Vec<(String, u32)> {
    (0..count)
        .map(|n| {
            let share = match n {
                0 => 8,
                1 | 2 => 4,
                _ => 1,
            };
            (format!("team-{:02}", n + 1), share)
        })
        .collect()
}

const TE_BYW_ROUTES: &str = "\
[route chat]
path = /v1/chat/*
methods = POST
pool = drafting
idempotent = yes
order = 10
cost = tokens
hint = 64
objective-first-byte-ms = 1400
objective-latency-percent = 95
objective-answered-percent = 99.9

[route route-sheet]
path = /v1/route-sheets
methods = POST
pool = drafting
idempotent = yes
order = 100
cost = tokens
hint = 400

[route booking]
path = /bookings
methods = POST
pool = booking
order = 20
hint = 40
objective-first-byte-ms = 500
objective-latency-percent = 99
objective-answered-percent = 99.9

[route booking-status]
path = /bookings/*
methods = GET HEAD
pool = booking
idempotent = yes
order = 0
hint = 20
objective-first-byte-ms = 300
objective-latency-percent = 99
objective-answered-percent = 99.9
";

const TASMAN_ROUTES: &str = "\
[route overdue]
path = /overdue/*
methods = GET POST
pool = logbook
idempotent = yes
order = 0
cost = tokens
hint = 100

[route transcribe]
path = /transcriptions
methods = POST
pool = logbook
idempotent = yes
order = 200
cost = tokens
hint = 800

[route sign-out]
path = /sign-outs
methods = POST
pool = check-in
order = 20
hint = 30

[route register]
path = /register/*
methods = GET HEAD
pool = check-in
idempotent = yes
order = 10
hint = 20
";
