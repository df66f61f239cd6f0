//! Slopes of processor time, memory, messages and bytes of each area, as JSON lines: the
//! measured sizes and the straight line through them. Names of areas as arguments select
//! some. docs/CAPACITY.md is worked out from them.

mod claim;
mod fair;
mod fit;
mod member;
mod report;
mod slots;
mod spread;
mod step;

use std::{io, process::Command};

use serde::Serialize;

/// One measured size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// What is varied.
    pub size: u64,
    /// What was measured.
    pub value: f64,
}

/// A quantity over several sizes.
#[derive(Debug)]
pub struct Series {
    /// The crate.
    pub area: &'static str,
    /// The quantity, with its unit.
    pub quantity: &'static str,
    /// What the size counts.
    pub by: &'static str,
    /// The sizes.
    pub points: Vec<Point>,
}

#[derive(Serialize)]
struct Line {
    area: &'static str,
    quantity: &'static str,
    by: &'static str,
    points: Vec<Point>,
    at_zero: f64,
    slope: f64,
    slope_error: f64,
    r_squared: f64,
}

/// An area and its quantities.
struct Area {
    name: &'static str,
    series: fn() -> Vec<Series>,
}

const AREAS: [Area; 7] = [
    Area { name: "sl-fair", series: fair::series },
    Area { name: "sl-slots", series: slots::series },
    Area { name: "sl-claim", series: claim::series },
    Area { name: "sl-member", series: member::series },
    Area { name: "spread", series: spread::series },
    Area { name: "sl-report", series: report::series },
    Area { name: "sl-step", series: step::series },
];

fn main() -> io::Result<()> {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    if let [name] = wanted.as_slice() {
        measure(name);
        return Ok(());
    }
    for area in AREAS {
        if wanted.is_empty() || wanted.iter().any(|it| it == area.name) {
            measure_apart(area.name)?;
        }
    }
    Ok(())
}

/// Measures an area in a process of its own: memory that another area freed would hide
/// some of what this one takes.
fn measure_apart(name: &str) -> io::Result<()> {
    Command::new(std::env::current_exe()?).arg(name).status().map(drop)
}

fn measure(name: &str) {
    let area = AREAS.iter().find(|it| it.name == name);
    let series = area.map(|it| (it.series)()).unwrap_or_default();
    series.into_iter().for_each(print);
}

/// Measures a quantity at each size.
fn sweep(
    area: &'static str,
    quantity: &'static str,
    by: &'static str,
    sizes: &[u64],
    measure: impl Fn(u64) -> f64,
) -> Series {
    let point = |&size| Point { size, value: measure(size) };
    Series { area, quantity, by, points: sizes.iter().map(point).collect() }
}

fn print(series: Series) {
    let fit = fit::fit(&series.points);
    let line = Line {
        area: series.area,
        quantity: series.quantity,
        by: series.by,
        points: series.points,
        at_zero: fit.at_zero,
        slope: fit.slope,
        slope_error: fit.slope_error,
        r_squared: fit.r_squared,
    };
    match serde_json::to_string(&line) {
        Ok(line) => println!("{line}"),
        Err(e) => eprintln!("{e}"),
    }
}
