//! A straight line by least squares, and what a measurement is made of.

use std::{fs, hint::black_box, time::Instant};

use crate::Point;

/// Times that each quantity is measured; the median stands.
const ROUNDS: usize = 9;

/// A straight line with the standard error of its slope.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    /// The value at size zero.
    pub at_zero: f64,
    /// The rise for each unit of size.
    pub slope: f64,
    /// The standard error of `slope`.
    pub slope_error: f64,
    /// The part of the variance that the line explains.
    pub r_squared: f64,
}

/// The line through `points`, of which there must be three at least.
pub fn fit(points: &[Point]) -> Fit {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.size as f64).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.value).sum::<f64>() / n;
    let dx = |p: &Point| p.size as f64 - mean_x;
    let sxx: f64 = points.iter().map(|p| dx(p).powi(2)).sum();
    let sxy: f64 = points.iter().map(|p| dx(p) * (p.value - mean_y)).sum();
    let slope = sxy / sxx;
    let at_zero = mean_y - slope * mean_x;
    let rest: f64 =
        points.iter().map(|p| (p.value - at_zero - slope * p.size as f64).powi(2)).sum();
    let all: f64 = points.iter().map(|p| (p.value - mean_y).powi(2)).sum();
    Fit {
        at_zero,
        slope,
        slope_error: (rest / (n - 2.0) / sxx).sqrt(),
        r_squared: if all > 0.0 { 1.0 - rest / all } else { 1.0 },
    }
}

/// Nanoseconds that one call of `work` takes, out of `calls` in a row.
pub fn nanos<T>(calls: u64, mut work: impl FnMut(u64) -> T) -> f64 {
    let mut rounds: Vec<f64> = (0..ROUNDS as u64)
        .map(|round| {
            let start = Instant::now();
            for call in 0..calls {
                black_box(work(round * calls + call));
            }
            start.elapsed().as_nanos() as f64 / calls as f64
        })
        .collect();
    rounds.sort_by(f64::total_cmp);
    rounds[ROUNDS / 2]
}

/// Bytes of memory that this process has resident.
pub fn resident() -> f64 {
    const PAGE_BYTES: f64 = 4_096.0;
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|s| s.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}
