//! The report for people: a terminal table and a plot.

use std::fmt::Write as _;

use plotters::prelude::*;
use thiserror::Error;

use crate::burn::{Report, Row, WindowBurn};

/// Pixels of the plot's width.
const WIDTH: u32 = 900;
/// Pixels of the plot's margins above and below the bars.
const MARGINS: u32 = 120;
/// Pixels of the plot's height for each row.
const ROW_HEIGHT: u32 = 36;
/// Rows in a plot at most; the fastest burning ones are taken.
const ROWS_MAX: usize = 40;
/// The rate that uses up just what the objective allows.
const FULL_RATE: f64 = 1.0;

/// The plot could not be drawn.
#[derive(Debug, Error)]
#[error("the plot could not be drawn: {0}")]
pub struct PlotError(String);

/// The report as a table for a terminal.
pub fn table(report: &Report) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<24} {:<12} {:>8} {:>7} {:>7} {:>8} {:>9}  {:>8} {:>8} {:>8}",
        "team",
        "route",
        "requests",
        "p50 ms",
        "p99 ms",
        "slow",
        "no answer",
        "burn 5m",
        "burn 1h",
        "state"
    );
    for row in &report.rows {
        let long = &row.long;
        let _ = writeln!(
            out,
            "{:<24} {:<12} {:>8} {:>7} {:>7} {:>8} {:>9}  {:>8} {:>8} {:>8}",
            row.team,
            row.route,
            long.requests,
            long.p50_ms,
            long.p99_ms,
            long.slow,
            long.unanswered,
            rate(max_burn_rate(&row.short)),
            rate(max_burn_rate(long)),
            state(row),
        );
    }
    for it in &report.covered {
        if it.long_percent < 100.0 {
            let _ = writeln!(
                out,
                "gap: {} has recorded {:.0} % of 5 min, {:.0} % of 1 h",
                it.instance, it.short_percent, it.long_percent
            );
        }
    }
    for instance in &report.missing {
        let _ = writeln!(out, "missing: {instance} gave no answer");
    }
    out
}

/// The report as a self-contained SVG picture.
///
/// # Errors
///
/// [`PlotError`] where the drawing library fails.
pub fn svg(report: &Report) -> Result<String, PlotError> {
    let rows = fastest(report);
    let mut out = String::new();
    draw(&mut out, &rows).map_err(|it| PlotError(it.to_string()))?;
    Ok(out)
}

/// The faster of a window's two burn rates.
pub fn max_burn_rate(window: &WindowBurn) -> Option<f64> {
    match (window.latency_burn, window.answered_burn) {
        (Some(a), Some(b)) => Some(a.max(b)),
        (a, b) => a.or(b),
    }
}

fn state(row: &Row) -> &'static str {
    let burns = |it| max_burn_rate(it).is_some_and(|it| it > FULL_RATE);
    match (row.objective, burns(&row.short), burns(&row.long)) {
        (None, ..) => "-",
        (_, true, true) => "BURNING",
        (_, true, false) => "rising",
        (_, false, true) => "easing",
        _ if row.long.requests == 0 => "no data",
        _ => "good",
    }
}

fn rate(rate: Option<f64>) -> String {
    rate.map_or_else(|| "-".to_owned(), |it| format!("{it:.2}"))
}

fn fastest(report: &Report) -> Vec<&Row> {
    let mut rows: Vec<&Row> = report.rows.iter().filter(|it| it.objective.is_some()).collect();
    let key = |row: &Row| max_burn_rate(&row.long).unwrap_or(0.0);
    rows.sort_by(|a, b| key(b).total_cmp(&key(a)));
    rows.truncate(ROWS_MAX);
    rows
}

fn draw(out: &mut String, rows: &[&Row]) -> Result<(), Box<dyn std::error::Error>> {
    let height = MARGINS + ROW_HEIGHT * rows.len() as u32;
    let root = SVGBackend::with_string(out, (WIDTH, height)).into_drawing_area();
    root.fill(&WHITE)?;
    let rates =
        rows.iter().flat_map(|it| [max_burn_rate(&it.short), max_burn_rate(&it.long)]).flatten();
    let top = rates.fold(2.0 * FULL_RATE, f64::max);
    let labels: Vec<String> = rows.iter().map(|it| format!("{} / {}", it.team, it.route)).collect();
    let count = rows.len() as f64;
    let mut chart = ChartBuilder::on(&root)
        .caption("Service-level burn: 5 min over 1 h", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(220)
        .build_cartesian_2d(0.0..top, 0.0..count.max(1.0))?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(rows.len() * 2 + 1)
        .y_label_formatter(&|y| label_at(&labels, *y))
        .x_desc("burn rate (1 uses up what the objective allows)")
        .draw()?;
    chart.draw_series(bars(rows, 0.1, |it| max_burn_rate(&it.long), BLUE))?;
    chart.draw_series(bars(rows, 0.5, |it| max_burn_rate(&it.short), RED))?;
    chart.draw_series(LineSeries::new([(FULL_RATE, 0.0), (FULL_RATE, count.max(1.0))], BLACK))?;
    root.present()?;
    Ok(())
}

fn label_at(labels: &[String], y: f64) -> String {
    let place = y.floor();
    if (y - place - 0.5).abs() > 0.01 || place < 0.0 {
        return String::new();
    }
    labels.get(place as usize).cloned().unwrap_or_default()
}

fn bars<'a>(
    rows: &'a [&'a Row],
    offset: f64,
    rate: impl Fn(&Row) -> Option<f64> + 'a,
    color: RGBColor,
) -> impl Iterator<Item = Rectangle<(f64, f64)>> + 'a {
    const THICKNESS: f64 = 0.4;
    rows.iter().enumerate().map(move |(place, row)| {
        let low = place as f64 + offset;
        let corners = [(0.0, low), (rate(row).unwrap_or(0.0), low + THICKNESS)];
        Rectangle::new(corners, color.mix(0.6).filled())
    })
}
