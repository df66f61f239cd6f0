//! Slopes of sl-report: by series of team and route.

use sl_base::Timestamp;
use sl_report::{Options, Recorder, Sample};

use crate::{
    Series,
    fit::{nanos, resident},
    sweep,
};

const AREA: &str = "sl-report";
const SERIES: [u64; 4] = [100, 400, 1_600, 6_200];
const MINUTES: u64 = 60;
/// Answered requests of a series in each minute.
const REQUESTS_A_MINUTE: u64 = 5;

/// All quantities.
pub fn series() -> Vec<Series> {
    let by = "series";
    vec![
        sweep(AREA, "resident bytes, full windows", by, &SERIES, memory),
        sweep(AREA, "wire bytes of a snapshot", by, &SERIES, snapshot),
        sweep(AREA, "ns of recording a request", by, &SERIES, record),
    ]
}

fn at(minute: u64) -> Timestamp {
    Timestamp::from_micros(1_700_000_000_000_000 + minute * 60_000_000)
}

fn latency(n: u64) -> Sample {
    Sample::Answered { first_byte_ms: 50 + n * 7_919 % 3_000 }
}

fn built(series: u64) -> Recorder {
    let mut recorder = Recorder::new(Options {
        instance: "instance-0".to_owned(),
        from: at(0),
        series_max: series as usize,
    });
    for minute in 0..MINUTES {
        for n in 0..series {
            let team = format!("team-{n}");
            for turn in 0..REQUESTS_A_MINUTE {
                recorder.record(at(minute), &team, "chat", latency(n + turn + minute));
            }
        }
    }
    recorder
}

fn memory(series: u64) -> f64 {
    let before = resident();
    let recorder = built(series);
    let bytes = resident() - before;
    std::mem::forget(recorder);
    bytes
}

fn snapshot(series: u64) -> f64 {
    let snapshot = built(series).snapshot(at(MINUTES));
    postcard::to_stdvec(&snapshot).map_or(0.0, |it| it.len() as f64)
}

fn record(series: u64) -> f64 {
    let mut recorder = built(series);
    nanos(5_000, |call| {
        let team = format!("team-{}", call * 31 % series);
        recorder.record(at(MINUTES), &team, "chat", latency(call));
    })
}
