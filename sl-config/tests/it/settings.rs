//! Faults of a settings file, each with its line, and defaults.

use rstest::rstest;
use sl_base::Millis;
use sl_config::{Faults, KeySource, Settings, settings::LogFormat};

const VALID: &str = include_str!("../../../examples/settings.ini");

fn faults(text: &str) -> Faults {
    Settings::parse("settings.ini", text).expect_err("the text has faults")
}

fn lines(faults: &Faults) -> Vec<usize> {
    faults.faults().iter().map(|it| faults.line(it)).collect()
}

// Guards against a section without data centres, or with names that the platform chooses freely, that
// keeps an instance from starting, and against a region that is lost.
#[test]
fn regions_may_have_any_names_and_none_is_needed() {
    let start = VALID.find("[regions]").unwrap();
    let end = start + VALID[start..].find("[objectives]").unwrap();
    let parse = |section: &str| {
        let text = format!("{}{section}{}", &VALID[..start], &VALID[end..]);
        Settings::parse("settings.ini", &text).unwrap().regions
    };
    assert_eq!(parse(""), []);
    assert_eq!(parse("[regions]\n"), []);
    let named = |data_centre: &str, region: &str| (data_centre.to_owned(), region.to_owned());
    let expected = [named("caerdydd", "Cymru (south)"), named("b-2", "gogledd")];
    assert_eq!(parse("[regions]\ncaerdydd = Cymru (south)\nc =\nb-2 = gogledd\n"), expected);
}

// Guards against one of two regions of a data centre that counts without notice.
#[test]
fn a_data_centre_with_two_regions_is_a_fault() {
    let text = VALID.replace("[regions]\n", "[regions]\nbangor = cymru\nbangor = lloegr\n");
    assert_eq!(faults(&text).faults().len(), 1);
}

// Guards against a process that still shuts down when the platform ends it, on a platform with
// another grace period than the one that the settings were written for.
#[rstest]
#[case::seconds("grace-s = 8", 7_400)]
#[case::milliseconds("grace-ms = 2500", 1_900)]
#[case::less_than_the_exit_takes("grace-ms = 100", 0)]
#[case::the_shutdown_itself("stop-within-ms = 5000", 5_000)]
fn a_shutdown_ends_before_the_grace_period(#[case] line: &str, #[case] expected_ms: u64) {
    let text = VALID.replace("stop-within-ms = 30000", line);
    let settings = Settings::parse("settings.ini", &text).unwrap();
    assert_eq!(settings.periods.drain_timeout, Millis(expected_ms));
}

#[test]
fn all_faults_are_reported_with_their_lines() {
    let text = VALID
        .replace("caller = 127.0.0.1:8100", "caller = localhost")
        .replace("stop-within-ms = 30000", "stop-withim-ms = 30000")
        .replace("format = json", "format = yaml");
    let found = faults(&text);
    let line = |part: &str| 1 + text.lines().position(|it| it.starts_with(part)).unwrap();
    let expected = [line("caller ="), line("stop-withim-ms"), line("format =")];
    assert_eq!(lines(&found), expected);
    let helps: Vec<_> = found.faults().iter().map(|it| it.help.as_deref()).collect();
    assert_eq!(helps[1], Some("did you mean `stop-within-ms`?"));
    assert_eq!(helps[2], Some("one of: json, terminal"));
}

#[rstest]
#[case::unknown_section("[log]", "[logs]", "unknown section `logs`")]
#[case::repeated_section("[log]", "[bounds]", "`[bounds]` is defined more than once")]
#[case::unclosed_section("[log]", "[log", "section header has no closing `]`")]
#[case::repeated_key(
    "held-requests = 2000",
    "held-requests = 1\nheld-requests = 2",
    "`held-requests` is defined more than once"
)]
#[case::no_value("seed = 1", "\nname", "expected `key = value`, found no `=`")]
#[case::zero("held-requests = 2000", "held-requests = 0", "`0` is not between 1 and 1000000")]
#[case::more_than_a_day(
    "stop-within-ms = 30000",
    "stop-within-ms = 86400001",
    "`86400001` is not between 1 and 86400000"
)]
#[case::two_ends_of_a_shutdown(
    "stop-within-ms = 30000",
    "stop-within-ms = 30000\ngrace-s = 8",
    "`stop-within-ms` follows from the grace period"
)]
#[case::overshoot(
    "overshoot = 1.5",
    "overshoot = some",
    "`some` is not a ratio from 0 to 10, such as 0.2"
)]
#[case::same_port(
    "metrics = 127.0.0.1:8103",
    "metrics = 127.0.0.1:8100",
    "address 127.0.0.1:8100 is already used by `caller`"
)]
#[case::invalid_name(
    "name = caerdydd-1",
    "name = caerdydd 1",
    "`caerdydd 1` is not a name of up to 64 letters, digits, `-`, `_` and `.`"
)]
#[case::invalid_address(
    "address = http://127.0.0.1:8400",
    "address = 127.0.0.1:8400",
    "`127.0.0.1:8400` is not an HTTP URL, such as http://192.0.2.1:8400"
)]
#[case::secret_in_the_settings(
    "control-key-file = /run/sesamelock/control.key",
    "control-key-file = /a\ncontrol-key = hush",
    "unknown key `control-key` in [keys]"
)]
#[case::no_key(
    "control-key-file = /run/sesamelock/control.key",
    "",
    "missing key `control-key-file` in [keys]"
)]
#[case::both_keys(
    "control-key-file = /run/sesamelock/control.key",
    "control-key-file = /a\ncontrol-key-env = B",
    "`control-key-file` and `control-key-env` are mutually exclusive"
)]
#[case::seed_without_a_name(
    "seeds = abertawe-1@127.0.0.1:8201",
    "seeds = 127.0.0.1:8201",
    "`127.0.0.1:8201, bangor-1@127.0.0.1:8301` is not a comma-separated list \
     of instances such as hobart-1@192.0.2.1:8101"
)]
#[case::invalid_ratio(
    "ratio = 0.1",
    "ratio = a lot",
    "`a lot` is not a ratio from 0 to 10, such as 0.2"
)]
#[case::ratio_below_zero(
    "ratio = 0.1",
    "ratio = -0.1",
    "`-0.1` is not a ratio from 0 to 10, such as 0.2"
)]
#[case::data_centre_cost_below_zero(
    "data-centre-cost-ms-per-mb = 0",
    "data-centre-cost-ms-per-mb = -1",
    "`-1` is not a number from 0 to 1000000, such as 33.5"
)]
#[case::data_centre_cost_too_high(
    "data-centre-cost-ms-per-mb = 0",
    "data-centre-cost-ms-per-mb = 1000001",
    "`1000001` is not a number from 0 to 1000000, such as 33.5"
)]
#[case::data_centre_cost_not_a_number(
    "data-centre-cost-ms-per-mb = 0",
    "data-centre-cost-ms-per-mb = NaN",
    "`NaN` is not a number from 0 to 1000000, such as 33.5"
)]
#[case::allowance_below_zero(
    "allowance = 10",
    "allowance = -1.5",
    "`-1.5` is not a number from 0 to 1000000, such as 33.5"
)]
#[case::allowance_not_a_number(
    "allowance = 10",
    "allowance = NaN",
    "`NaN` is not a number from 0 to 1000000, such as 33.5"
)]
#[case::infinite_allowance(
    "allowance = 10",
    "allowance = inf",
    "`inf` is not a number from 0 to 1000000, such as 33.5"
)]
#[case::window_of_no_length(
    "window-ms = 10000",
    "window-s = 0",
    "`0` is not a number of seconds from 0.001 to 86400, such as 9.7"
)]
#[case::window_not_a_number(
    "window-ms = 10000",
    "window-s = NaN",
    "`NaN` is not a number of seconds from 0.001 to 86400, such as 9.7"
)]
#[case::window_in_both_units(
    "window-ms = 10000",
    "window-ms = 10000\nwindow-s = 10",
    "`window-ms` and `window-s` are mutually exclusive"
)]
#[case::missing_name("name = caerdydd-1", "", "missing key `name` in [instance]")]
fn a_fault_has_its_message(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    assert!(VALID.contains(from));
    let found = faults(&VALID.replace(from, to));
    let messages: Vec<String> = found.faults().iter().map(ToString::to_string).collect();
    assert!(messages.iter().any(|it| it == expected), "{messages:?}");
}

#[test]
fn every_missing_section_is_reported() {
    let messages: Vec<String> = faults("").faults().iter().map(ToString::to_string).collect();
    let expected =
        ["instance", "listen", "platform", "keys"].map(|it| format!("missing section [{it}]"));
    assert_eq!(messages, expected);
}

#[test]
fn optional_sections_have_defaults() {
    let end = VALID.find("[bounds]").unwrap();
    let required_only = Settings::parse("settings.ini", &VALID[..end]).unwrap();
    let full = Settings::parse("settings.ini", VALID).unwrap();
    assert_eq!(required_only, full);
    assert_eq!(full.log.format, LogFormat::Json);
}

/// The platform hands over rates, allowances and windows with or without a fraction. Guards
/// against a fleet of which no instance starts, because an allowance was not a whole number.
#[test]
fn amounts_and_windows_may_be_fractions() {
    let text = VALID
        .replace("allowance = 10", "allowance = 33.157894736842")
        .replace("window-ms = 10000", "window-s = 9.7")
        .replace("window-ms = 4000", "window-s = 4.0");
    let settings = Settings::parse("settings.ini", &text).expect("fractions are valid");
    assert!((settings.retry_budget.allowance - 33.157_894).abs() < 1e-5);
    assert_eq!(settings.retry_budget.window.0, 9_700);
    assert_eq!(settings.sharing.window.0, 4_000);
}

#[test]
fn a_key_is_read_from_its_source_and_redacted_in_debug_output() {
    let source = KeySource::Env("CONTROL_KEY".to_owned());
    let read = |value: &'static str| {
        let env = move |name: &str| (name == "CONTROL_KEY").then(|| value.to_owned()).ok_or(());
        source.read(|path| panic!("reads {path:?}"), env)
    };
    let secret = read("0123456789abcdef\n").expect("the secret is long enough");
    assert_eq!(secret.expose(), "0123456789abcdef");
    assert_eq!(format!("{secret:?}"), "Secret(..)");
    assert!(read("0123456789abcde").is_err());
}
