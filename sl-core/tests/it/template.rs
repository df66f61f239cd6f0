//! `check template` reports missing values and faults of the rendered settings.

use std::fs;

use rstest::rstest;
use sl_core::{
    Exit, OutputFormat,
    template::{Options, check},
};

const TEMPLATE: &str = include_str!("../../../deploy/settings.ini");

/// Values as the platform provides them; the template has no placeholder `unused`.
const VALUES: &str = r#"
node_name = "i1"
zone = "z1"
ip = "10.0.0.1"
port_range = [7000, 7010]
seeds = ["10.0.0.2:7", "10.0.0.3:7"]
unused = 1

[listen]
frontend = "10.0.0.1:80"
control_plane = "10.0.0.1:81"
readiness = "10.0.0.1:82"

[platform]
address = "10.0.9.1:83"

[limits]
cpu_quota = 0.25
max_fds = 4000

[bounds]
grace_s = 8
retry_budget_ratio = 0.2
retry_allowance = 50
budget_window_s = 10
quota_window_s = 4
"#;

fn run_check(template: &str, values: &str, format: OutputFormat) -> (Exit, String) {
    let dir = tempfile::tempdir().unwrap();
    let options = Options {
        template: dir.path().join("settings.ini"),
        values: dir.path().join("values.toml"),
        format,
    };
    fs::write(&options.template, template).unwrap();
    fs::write(&options.values, values).unwrap();
    let outcome = check(&options).unwrap();
    let mut out = Vec::new();
    outcome.write(format, &mut out).unwrap();
    (outcome.exit(), String::from_utf8(out).unwrap())
}

// Guards against instances that do not start where the platform names regions.
#[test]
fn the_deployed_template_is_valid_with_regions() {
    let values = format!("{VALUES}\n[zones]\nz1 = \"Cymru\"\nz-2 = \"Y Gogledd (2)\"\n");
    let (exit, text) = run_check(TEMPLATE, &values, OutputFormat::Text);
    assert_eq!(exit, Exit::Done, "{text}");
}

// Guards against instances that do not start where the platform names no grace period.
#[test]
fn the_deployed_template_is_valid_without_a_grace_period() {
    let values = VALUES.replace("grace_s = 8\n", "");
    let (exit, text) = run_check(TEMPLATE, &values, OutputFormat::Text);
    assert_eq!(exit, Exit::Done, "{text}");
}

#[test]
fn the_deployed_template_is_valid() {
    let (exit, text) = run_check(TEMPLATE, VALUES, OutputFormat::Text);
    assert_eq!(exit, Exit::Done, "{text}");
    assert!(text.ends_with("settings.ini: valid\n"));
}

/// The platform writes the bounds with or without a fraction, and scales some of them.
#[test]
fn the_deployed_template_accepts_fractions() {
    let values = VALUES
        .replace("retry_allowance = 50", "retry_allowance = 33.157894736842104")
        .replace("retry_budget_ratio = 0.2", "retry_budget_ratio = 0.20000000000000001")
        .replace("budget_window_s = 10", "budget_window_s = 9.7")
        .replace("quota_window_s = 4", "quota_window_s = 4.0");
    let (exit, text) = run_check(TEMPLATE, &values, OutputFormat::Text);
    assert_eq!(exit, Exit::Done, "{text}");
}

// Most deployments have no bounds for cold servers. Guards against a fleet of which no instance starts,
// because they are missing or are fractions.
#[rstest]
#[case::absent("", "[warmup]\n\n\n")]
#[case::both(
    "warmup_overshoot = 1.25\nwarmup_allowance = 7.5",
    "overshoot = 1.25\nallowance = 7.5\n"
)]
#[case::one("warmup_overshoot = 2", "[warmup]\novershoot = 2\n\n")]
fn the_deployed_template_takes_the_bounds_for_cold_servers(
    #[case] bounds: &str,
    #[case] section: &str,
) {
    let values = format!("{VALUES}{bounds}\n");
    let (exit, text) = run_check(TEMPLATE, &values, OutputFormat::Text);
    assert_eq!(exit, Exit::Done, "{text}");
    let rendered = platform::template::render(TEMPLATE, &values).unwrap().text;
    assert!(rendered.contains(section), "{rendered}");
}

#[rstest]
#[case::no_value("max_fds = 4000", "", "no value for placeholder `limits.max_fds`")]
#[case::wrong_type("cpu_quota = 0.25", "cpu_quota = \"a part\"", "`a part` is not")]
#[case::no_address("\"10.0.0.1:80\"", "\"front\"", "`front` is not an IP address")]
fn a_missing_or_invalid_value_is_reported(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    for format in [OutputFormat::Text, OutputFormat::Json] {
        let (exit, text) = run_check(TEMPLATE, &VALUES.replace(from, to), format);
        assert_eq!(exit, Exit::Faults);
        assert!(text.contains(expected), "{text}");
    }
}
