//! Slopes of sl-member: by members.

use std::net::{Ipv4Addr, SocketAddr};

use sl_base::{
    Incarnation, InstanceId, Timestamp,
    listing::{ListedInstance, Listing},
};
use sl_member::{Me, Members, Options, Output};

use crate::{
    Series,
    fit::{nanos, resident},
    sweep,
};

const AREA: &str = "sl-member";
const MEMBERS: [u64; 4] = [9, 50, 200, 740];
const LIFE: Incarnation = Incarnation(1_700_000_000_000_000);
const SPAN_MS: u64 = 120_000;
const STEP_MS: u64 = 100;
/// Instances of the same state that a memory measurement is spread over.
const COPIES: usize = 200;

/// All quantities.
pub fn series() -> Vec<Series> {
    let by = "members";
    vec![
        sweep(AREA, "resident bytes", by, &MEMBERS, memory),
        sweep(AREA, "messages sent a second, nobody fails", by, &MEMBERS, |n| quiet(n).0),
        sweep(AREA, "wire bytes sent a second, nobody fails", by, &MEMBERS, |n| quiet(n).1),
        sweep(AREA, "messages sent more in 120 s, one listed member silent", by, &MEMBERS, |n| {
            failure(n).0
        }),
        sweep(AREA, "wire bytes sent more in 120 s, one listed member silent", by, &MEMBERS, |n| {
            failure(n).1
        }),
        sweep(AREA, "ns of a probe and its answer", by, &MEMBERS, probe),
    ]
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(LIFE.0 + millis * 1_000)
}

fn id(n: u64) -> InstanceId {
    InstanceId::of(&format!("instance-{n}"))
}

fn address(n: u64) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + n as u16))
}

fn listing(members: u64) -> Listing {
    let instance = |n| ListedInstance {
        name: format!("instance-{n}"),
        data_centre: "one".to_owned(),
        control: address(n),
        leaving: false,
    };
    Listing { version: 1, instances: (0..members).map(instance).collect(), servers: Vec::new() }
}

fn built(members: u64) -> Members {
    let me = Me { id: id(0), incarnation: LIFE, address: address(0) };
    let mut state = Members::new(Options::default(), me, 1, at(0));
    state.on_listing(at(0), &listing(members));
    state.take();
    state
}

fn memory(members: u64) -> f64 {
    let before = resident();
    let states: Vec<Members> = (0..COPIES).map(|_| built(members)).collect();
    let bytes = (resident() - before) / COPIES as f64;
    std::mem::forget(states);
    bytes
}

/// Messages and bytes a second where every message is confirmed.
fn quiet(members: u64) -> (f64, f64) {
    let (messages, bytes) = run(members, None);
    let seconds = SPAN_MS as f64 / 1_000.0;
    (messages / seconds, bytes / seconds)
}

/// What one instance sends more where one member stays silent while it is listed.
fn failure(members: u64) -> (f64, f64) {
    let quiet = run(members, None);
    let with = run(members, Some(id(1)));
    (with.0 - quiet.0, with.1 - quiet.1)
}

fn run(members: u64, silent: Option<InstanceId>) -> (f64, f64) {
    let mut state = built(members);
    let (mut messages, mut bytes) = (0.0, 0.0);
    for now in (0..SPAN_MS).step_by(STEP_MS as usize).map(at) {
        if state.due().is_due(now) {
            state.tick(now);
        }
        for output in state.take() {
            let Output::Send { to, message, .. } = output else {
                continue;
            };
            messages += 1.0;
            bytes += postcard::to_stdvec(&message).map_or(0, |it| it.len()) as f64;
            if Some(to) != silent {
                state.on_answered(now, to, now);
            }
        }
    }
    (messages, bytes)
}

fn probe(members: u64) -> f64 {
    let mut state = built(members);
    nanos(2_000, |call| {
        let now = at(call * 500);
        state.tick(now);
        for output in state.take() {
            if let Output::Send { to, .. } = output {
                state.on_answered(now, to, now);
            }
        }
    })
}
