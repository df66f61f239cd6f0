//! The example files are what a new operator copies: they must pass, and show defaults.

use rstest::rstest;
use sl_config::{Cost, Settings, Template, settings};

const SETTINGS: &str = include_str!("../../../examples/settings.ini");
const TEMPLATE: &str = include_str!("../../../examples/template.ini");

fn hash(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}

#[test]
fn settings_show_the_defaults() {
    let shown = Settings::parse("settings.ini", SETTINGS).expect("the example is good");
    assert_eq!(shown.bounds, settings::Bounds::default());
    assert_eq!(shown.periods, settings::Periods::default());
    assert_eq!(shown.log, settings::Log::default());
    assert_eq!(shown.platform.call_within, settings::Platform::CALL_WITHIN);
    assert_eq!(shown.platform.watch_within, settings::Platform::WATCH_WITHIN);
    assert_eq!(shown.keys.operators, [hash("example-operator-key")]);
}

#[test]
fn template_says_what_its_comments_say() {
    let shown = Template::parse("te-byw", TEMPLATE).expect("the example is good");
    assert_eq!(shown.routes.len(), 4);
    assert_eq!(shown.routes[0].policy.cost, Cost::Tokens);
    assert!(!shown.routes[2].policy.idempotent);
    assert_eq!(shown.teams[0].credentials, [hash("example-office-credential")]);
    assert_eq!(shown.teams[1].credentials, [hash("example-drivers-credential")]);
}

#[rstest]
#[case::settings(SETTINGS)]
#[case::template(TEMPLATE)]
fn examples_keep_secrets_out(#[case] text: &str) {
    let line = |it: &&str| it.contains("key =") && !it.trim_start().starts_with(';');
    let given: Vec<&str> = text.lines().filter(line).collect();
    assert!(given.iter().all(|it| it.starts_with("key = required")), "{given:?}");
}
