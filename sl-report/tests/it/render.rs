use sl_report::{Report, Sample, render};

use crate::{START, objective, recorder};

#[test]
fn the_plot_is_a_self_contained_svg() {
    let mut a = recorder("a", START);
    a.record(START, "office", "chat", Sample::Unanswered);
    let report = Report::merge(objective, &[a.snapshot(START)], Vec::new()).unwrap();
    let svg = render::svg(&report).unwrap();
    assert!(svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>"));
    assert!(svg.contains("office / chat"));
    assert!(!svg.contains("href"));
}

#[test]
fn a_row_above_the_burn_limit_is_marked() {
    let mut a = recorder("a", START);
    a.record(START, "office", "chat", Sample::Unanswered);
    a.record(START, "office", "stray", Sample::Unanswered);
    let report = Report::merge(objective, &[a.snapshot(START)], Vec::new()).unwrap();
    let table = render::table(&report);
    let row = |route| table.lines().find(|it| it.contains(route)).unwrap().to_owned();
    assert!(row(" chat ").ends_with("BURNING"), "{table}");
    assert!(row("stray").ends_with('-'), "{table}");
}
