//! Slopes of processor time, memory and bytes on the wire of sl-fair and sl-slots, as
//! JSON lines: one line a size, and one line a straight line through the sizes.
//! docs/CAPACITY.md is worked out from them.

mod fair;
mod fit;
mod slots;

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

fn main() {
    for series in fair::series().into_iter().chain(slots::series()) {
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
}
