use sl_base::Millis;
use sl_report::{Report, Sample};

use crate::{START, objective, recorder};

fn is_close(rate: Option<f64>, expected: f64) -> bool {
    rate.is_some_and(|it| (it - expected).abs() < 1e-6)
}

#[test]
fn burn_rates_follow_from_latencies_and_objective() {
    let mut a = recorder("a", START);
    let mut b = recorder("b", START);
    for _ in 0..70 {
        a.record(START, "office", "chat", Sample::Answered { first_byte_ms: 100 });
    }
    for _ in 0..20 {
        b.record(START, "office", "chat", Sample::Answered { first_byte_ms: 5_000 });
    }
    for _ in 0..10 {
        b.record(START, "office", "chat", Sample::Unanswered);
    }
    let at = START.after(Millis(1_000));
    let report = Report::merge(objective, &[a.snapshot(at), b.snapshot(at)], Vec::new()).unwrap();
    let long = &report.rows[0].long;
    assert_eq!((long.requests, long.slow, long.unanswered), (100, 20, 10));
    // 20 of 90 answers are slow and 10 % may be; 10 of 100 requests have no answer and 1 % may.
    assert!(is_close(long.latency_burn, 20.0 / 90.0 / 0.1), "{long:?}");
    assert!(is_close(long.answered_burn, 10.0), "{long:?}");
    assert!((95..=110).contains(&long.p50_ms), "{long:?}");
    assert!((4_700..=5_300).contains(&long.p99_ms), "{long:?}");
}

#[test]
fn samples_leave_the_short_window_before_the_long_one() {
    let mut a = recorder("a", START);
    a.record(START, "office", "chat", Sample::Unanswered);
    let at = START.after(Millis(10 * 60_000));
    let report = Report::merge(objective, &[a.snapshot(at)], Vec::new()).unwrap();
    assert_eq!(report.rows[0].short.requests, 0);
    assert_eq!(report.rows[0].long.requests, 1);
    let at = START.after(Millis(70 * 60_000));
    let report = Report::merge(objective, &[a.snapshot(at)], Vec::new()).unwrap();
    assert_eq!(report.rows[0].long.requests, 0);
}

#[test]
fn a_restart_is_reported_as_a_gap_in_coverage() {
    let at = START.after(Millis(60 * 60_000));
    let mut running = recorder("running", START);
    let mut restarted = recorder("restarted", at.before(Millis(60_000)));
    let snapshots = [running.snapshot(at), restarted.snapshot(at)];
    let report = Report::merge(objective, &snapshots, vec!["unreachable".to_owned()]).unwrap();
    assert!((report.covered[0].long_percent - 100.0).abs() < 1e-6);
    assert!((report.covered[1].short_percent - 20.0).abs() < 1e-6);
    assert_eq!(report.missing, ["unreachable"]);
    let table = sl_report::render::table(&report);
    assert!(table.contains("gap: restarted has recorded 20 % of 5 min"), "{table}");
    assert!(table.contains("missing: unreachable"), "{table}");
}

#[test]
fn a_snapshot_round_trips_and_a_corrupt_histogram_is_reported() {
    let mut a = recorder("a", START);
    a.record(START, "office", "chat", Sample::Answered { first_byte_ms: 7 });
    let snapshot = a.snapshot(START);
    let json = serde_json::to_string(&snapshot).unwrap();
    assert_eq!(serde_json::from_str::<sl_report::Snapshot>(&json).unwrap(), snapshot);
    let corrupt = json.replace("\"answered\":\"1c", "\"answered\":\"00");
    let corrupt = serde_json::from_str(&corrupt).unwrap();
    let error = Report::merge(objective, &[corrupt], Vec::new()).unwrap_err();
    assert_eq!(error.team, "office");
}
