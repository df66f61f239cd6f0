//! Operators copy the example file, so it must be valid and show the defaults.

use rstest::rstest;
use sl_config::{Settings, settings};

const SETTINGS: &str = include_str!("../../../examples/settings.ini");

fn hash(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}

#[test]
fn the_example_shows_the_defaults() {
    let example = Settings::parse("settings.ini", SETTINGS).expect("the example is valid");
    assert_eq!(example.bounds, settings::Bounds::default());
    assert_eq!(example.periods, settings::Periods::default());
    assert_eq!(example.log, settings::Log::default());
    assert_eq!(example.retry_budget, settings::RetryBudget::default());
    assert_eq!(example.warmup, settings::Warmup::default());
    assert_eq!(example.sharing, settings::Sharing::default());
    assert_eq!(example.placement, settings::Placement::default());
    assert_eq!(example.objectives, settings::Objectives::default());
    assert_eq!(example.keys.operator_key_hashes, [hash("example-operator-key")]);
}

#[rstest]
#[case::settings(SETTINGS)]
fn the_example_holds_no_secret(#[case] text: &str) {
    let holds_key = |it: &&str| it.contains("key =") && !it.trim_start().starts_with(';');
    let key_lines: Vec<&str> = text.lines().filter(holds_key).collect();
    assert!(key_lines.iter().all(|it| it.starts_with("key = required")), "{key_lines:?}");
}
