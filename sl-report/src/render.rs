//! Text and SVG output of the report.

use std::fmt::Write as _;

use plotters::prelude::*;
use thiserror::Error;

use crate::burn::{Report, Row, WindowBurn};

/// Width of the plot in pixels.
const WIDTH: u32 = 900;
/// Combined height of the margins above and below the bars, in pixels.
const MARGINS_HEIGHT: u32 = 120;
/// Height of a row in pixels.
const ROW_HEIGHT: u32 = 36;
/// Maximum number of rows in the plot; those with the highest burn rates are shown.
const ROWS_MAX: usize = 40;
/// Burn rate that uses up exactly what the objective allows.
const BURN_RATE_LIMIT: f64 = 1.0;

/// Error of the drawing library.
#[derive(Debug, Error)]
#[error("failed to draw the plot: {0}")]
pub struct PlotError(String);

/// Formats the report as a text table.
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
            format_rate(max_burn_rate(&row.short)),
            format_rate(max_burn_rate(long)),
            state(row),
        );
    }
    for coverage in &report.covered {
        if coverage.long_percent < 100.0 {
            let _ = writeln!(
                out,
                "gap: {} has recorded {:.0} % of 5 min, {:.0} % of 1 h",
                coverage.instance, coverage.short_percent, coverage.long_percent
            );
        }
    }
    for instance in &report.missing {
        let _ = writeln!(out, "missing: {instance} gave no answer");
    }
    out
}

/// Draws the report as a self-contained SVG image.
///
/// # Errors
///
/// [`PlotError`] if the drawing library fails.
pub fn svg(report: &Report) -> Result<String, PlotError> {
    let rows = highest_burn_rows(report);
    let mut out = String::new();
    draw(&mut out, &rows).map_err(|it| PlotError(it.to_string()))?;
    Ok(out)
}

/// Returns the higher of a window's two burn rates.
pub fn max_burn_rate(window: &WindowBurn) -> Option<f64> {
    match (window.latency_burn, window.answered_burn) {
        (Some(a), Some(b)) => Some(a.max(b)),
        (a, b) => a.or(b),
    }
}

fn state(row: &Row) -> &'static str {
    let is_burning = |it| max_burn_rate(it).is_some_and(|it| it > BURN_RATE_LIMIT);
    match (row.objective, is_burning(&row.short), is_burning(&row.long)) {
        (None, ..) => "-",
        (_, true, true) => "BURNING",
        (_, true, false) => "rising",
        (_, false, true) => "easing",
        _ if row.long.requests == 0 => "no data",
        _ => "good",
    }
}

fn format_rate(rate: Option<f64>) -> String {
    rate.map_or_else(|| "-".to_owned(), |it| format!("{it:.2}"))
}

fn highest_burn_rows(report: &Report) -> Vec<&Row> {
    let mut rows: Vec<&Row> = report.rows.iter().filter(|it| it.objective.is_some()).collect();
    let key = |row: &Row| max_burn_rate(&row.long).unwrap_or(0.0);
    rows.sort_by(|a, b| key(b).total_cmp(&key(a)));
    rows.truncate(ROWS_MAX);
    rows
}

fn draw(out: &mut String, rows: &[&Row]) -> Result<(), Box<dyn std::error::Error>> {
    let height = MARGINS_HEIGHT + ROW_HEIGHT * rows.len() as u32;
    let root = SVGBackend::with_string(out, (WIDTH, height)).into_drawing_area();
    root.fill(&WHITE)?;
    let rates =
        rows.iter().flat_map(|it| [max_burn_rate(&it.short), max_burn_rate(&it.long)]).flatten();
    let axis_max = rates.fold(2.0 * BURN_RATE_LIMIT, f64::max);
    let labels: Vec<String> = rows.iter().map(|it| format!("{} / {}", it.team, it.route)).collect();
    let count = rows.len() as f64;
    let mut chart = ChartBuilder::on(&root)
        .caption("Service-level burn: 5 min over 1 h", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(220)
        .build_cartesian_2d(0.0..axis_max, 0.0..count.max(1.0))?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(rows.len() * 2 + 1)
        .y_label_formatter(&|y| label_at(&labels, *y))
        .x_desc("burn rate (1 uses up what the objective allows)")
        .draw()?;
    chart.draw_series(bars(rows, 0.1, |it| max_burn_rate(&it.long), BLUE))?;
    chart.draw_series(bars(rows, 0.5, |it| max_burn_rate(&it.short), RED))?;
    chart.draw_series(LineSeries::new(
        [(BURN_RATE_LIMIT, 0.0), (BURN_RATE_LIMIT, count.max(1.0))],
        BLACK,
    ))?;
    root.present()?;
    Ok(())
}

/// Returns the label of the row whose middle is at `y`; empty for the other marks of the axis.
fn label_at(labels: &[String], y: f64) -> String {
    let index = y.floor();
    if (y - index - 0.5).abs() > 0.01 || index < 0.0 {
        return String::new();
    }
    labels.get(index as usize).cloned().unwrap_or_default()
}

fn bars<'a>(
    rows: &'a [&'a Row],
    offset: f64,
    rate: impl Fn(&Row) -> Option<f64> + 'a,
    color: RGBColor,
) -> impl Iterator<Item = Rectangle<(f64, f64)>> + 'a {
    const THICKNESS: f64 = 0.4;
    rows.iter().enumerate().map(move |(index, row)| {
        let bottom = index as f64 + offset;
        let corners = [(0.0, bottom), (rate(row).unwrap_or(0.0), bottom + THICKNESS)];
        Rectangle::new(corners, color.mix(0.6).filled())
    })
}
