//! The example file is what a new operator copies: it must pass, and show defaults.

use rstest::rstest;
use sl_config::{Settings, settings};

const SETTINGS: &str = include_str!("../../../examples/settings.ini");

fn hash(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}

#[test]
fn settings_show_the_defaults() {
    let shown = Settings::parse("settings.ini", SETTINGS).expect("the example is good");
    assert_eq!(shown.bounds, settings::Bounds::default());
    assert_eq!(shown.periods, settings::Periods::default());
    assert_eq!(shown.log, settings::Log::default());
    assert_eq!(shown.retry_budget, settings::RetryBudget::default());
    assert_eq!(shown.sharing, settings::Sharing::default());
    assert_eq!(shown.objectives, settings::Objectives::default());
    assert_eq!(shown.keys.operator_key_hashes, [hash("example-operator-key")]);
}

#[rstest]
#[case::settings(SETTINGS)]
fn examples_keep_secrets_out(#[case] text: &str) {
    let line = |it: &&str| it.contains("key =") && !it.trim_start().starts_with(';');
    let given: Vec<&str> = text.lines().filter(line).collect();
    assert!(given.iter().all(|it| it.starts_with("key = required")), "{given:?}");
}
