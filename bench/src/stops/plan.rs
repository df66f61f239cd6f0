//! The schedule of planned work, and of servers that are slow now and then.

use std::time::Duration;

use rand::{Rng, RngExt, seq::SliceRandom};
use stand_ins::server;

use super::DATA_CENTRES;
use crate::soak::{Fault, plan::draw_schedule};

/// A step of planned work, or a change of a server. Instances are given by their index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends SIGTERM to an instance that has been ready and is not stopping.
    Terminate(usize),
    /// Sends SIGTERM to an instance that is stopping.
    TerminateAgain(usize),
    /// Sends SIGHUP to an instance that has been ready, stopping or not.
    Hangup(usize),
    /// Drains the instance through its port for operators.
    Drain(usize),
    /// A new configuration, a replaced server, or the pace of one.
    Fleet(Fault),
    /// Makes the server with the index send nothing for as long, in milliseconds.
    Silence(usize, u64),
}

/// Pauses between two stops of a series, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 0..1_500;

/// Pauses between the starts of two series, in milliseconds.
const SERIES_MS: std::ops::Range<u64> = 500..2_500;

/// When instances are signalled again, in milliseconds after their first SIGTERM.
const REPEAT_MS: std::ops::Range<u64> = 50..5_800;

/// The mean interval between two changes of one server, in milliseconds.
const SERVER_MEAN_INTERVAL_MS: u64 = 2_000;

/// The mean interval between two configurations or two replaced servers, in milliseconds.
const FLEET_MEAN_INTERVAL_MS: u64 = 2_500;

/// Draws planned work for data centres of `instances` instances each, in the order of the times.
pub(crate) fn actions(
    rng: &mut impl Rng,
    duration: Duration,
    instances: usize,
    servers: usize,
) -> Vec<(Duration, Action)> {
    let mut actions = draw_stops(rng, duration, instances);
    actions.extend(draw_schedule(rng, duration, FLEET_MEAN_INTERVAL_MS, |rng| {
        let replaced = Fault::Replace(rng.random_range(0..servers));
        Action::Fleet(if rng.random_bool(0.5) { replaced } else { Fault::Configure })
    }));
    let mean_interval_ms = (SERVER_MEAN_INTERVAL_MS / servers as u64).max(1);
    actions.extend(draw_schedule(rng, duration, mean_interval_ms, |rng| {
        let server = rng.random_range(0..servers);
        match rng.random_range(0..4) {
            0 => Action::Silence(server, rng.random_range(400..1_000)),
            1 => Action::Fleet(Fault::Server(server, server::Fault::None)),
            _ => {
                let slow = server::Fault::Slow(rng.random_range(100..700));
                Action::Fleet(Fault::Server(server, slow))
            }
        }
    }));
    actions.sort_by_key(|it| it.0);
    actions
}

fn draw_stops(rng: &mut impl Rng, duration: Duration, instances: usize) -> Vec<(Duration, Action)> {
    let mut actions = Vec::new();
    let mut series_at = Duration::from_millis(rng.random_range(SERIES_MS));
    while series_at < duration {
        let data_centre = rng.random_range(0..DATA_CENTRES.len());
        let mut stopped: Vec<usize> = (0..instances).collect();
        stopped.shuffle(rng);
        // More than half of a data centre, so that its stopping instances get new connections.
        let most = rng.random_range(instances / 2 + 1..=instances.max(2) - 1);
        stopped.truncate(if rng.random_bool(0.8) { most } else { 1 });
        // Whether anything but one SIGTERM reaches the instances.
        let is_disturbed = rng.random_bool(0.5);
        let mut at = series_at;
        for number in stopped {
            let instance = data_centre + number * DATA_CENTRES.len();
            actions.push((at, Action::Terminate(instance)));
            if is_disturbed {
                actions.extend(draw_repeats(rng, at, instance));
            }
            at += Duration::from_millis(rng.random_range(PAUSE_MS));
        }
        series_at += Duration::from_millis(rng.random_range(SERIES_MS));
    }
    actions
}

/// Draws what else happens to an instance that gets SIGTERM at `at`.
fn draw_repeats(rng: &mut impl Rng, at: Duration, instance: usize) -> Vec<(Duration, Action)> {
    let mut actions = Vec::new();
    let repeats = [
        (0.4, Action::TerminateAgain(instance)),
        (0.2, Action::TerminateAgain(instance)),
        (0.3, Action::Hangup(instance)),
        (0.2, Action::Drain(instance)),
    ];
    for (probability, action) in repeats {
        if rng.random_bool(probability) {
            actions.push((at + Duration::from_millis(rng.random_range(REPEAT_MS)), action));
        }
    }
    for (probability, action) in [(0.3, Action::Hangup(instance)), (0.2, Action::Drain(instance))] {
        let before = Duration::from_millis(rng.random_range(PAUSE_MS));
        if rng.random_bool(probability) {
            actions.push((at.saturating_sub(before), action));
        }
    }
    actions
}
