//! `check configuration` reports each kind of finding where it is, and shows no API key.

use std::fs;

use rstest::rstest;
use serde_json::{Value, json};
use sl_core::{
    Exit, OutputFormat,
    check::configuration::{Options, check, inspect},
};

const KEY: &str = "key-of-the-brewers";

fn valid() -> Value {
    json!({
        "version": 7,
        "routes": [
            {"name": "a", "hostname": "h.example", "prefix": "/a/", "route_type": "idempotent",
             "timeout_ms": 1_000, "target_latency_ms": 500, "service": "app", "max_attempts": 2},
            {"name": "b", "hostname": "h.example", "prefix": "/a/b/", "route_type": "streaming",
             "timeout_ms": 8_000, "target_gap_ms": 800,
             "traffic_split": [{"service": "model", "weight": 1}, {"service": "app", "weight": 0}]},
        ],
        "services": [
            {"name": "app", "max_connections": 100, "warmup_s": 0, "warmup_per_s": 0},
            {"name": "model", "engine": {"slots": 64, "kv_capacity": 500_000},
             "warmup_s": 3.0, "warmup_per_s": 6.6},
        ],
        "limits": {"max_header_bytes": 16_384, "idle_timeout_ms": 5_000},
        "tenants": [
            {"name": "brewers", "api_keys": [KEY]},
            {"name": "drivers", "api_keys": ["d1", "d2"], "allowed_regions": ["north"]},
        ],
    })
}

/// The valid configuration with a value set at `pointer`, of which the last segment may be new.
fn valid_but(pointer: &str, value: Value) -> Value {
    let mut document = valid();
    let (parent, field) = pointer.rsplit_once('/').unwrap();
    match document.pointer_mut(parent).unwrap() {
        Value::Array(items) => match field.parse::<usize>() {
            Ok(index) if index < items.len() => items[index] = value,
            _ => items.push(value),
        },
        parent => parent[field] = value,
    }
    document
}

/// Severity, kind and path (or line and column) of each finding.
fn findings(text: &str, in_force: Option<&str>) -> Vec<String> {
    let (findings, _) = inspect(text.as_bytes(), in_force.map(str::as_bytes));
    let rows = findings.iter().map(|it| format!("{} {} {}", it.severity, it.kind, it.position));
    rows.collect()
}

// Guards against an alarm about a configuration that is fine.
#[test]
fn a_valid_configuration_has_no_findings() {
    let in_force = valid_but("/version", json!(6)).to_string();
    assert!(findings(&valid().to_string(), Some(&in_force)).is_empty());
}

// Guards against a configuration that goes unnoticed to instances which ignore it, or do something else
// than is written.
#[rstest]
#[case("/version", json!(0), "version-zero version")]
#[case("/routes/0/route_type", json!("odd"), "deviation routes[0].route_type")]
#[case("/routes/0/service", json!(null), "deviation routes[0].service")]
#[case("/routes/0/hostname", json!(7), "deviation routes[0]")]
#[case("/tenants/0/priority", json!("high"), "deviation tenants[0].priority")]
#[case("/limits/max_body_bytes", json!(1e30), "deviation limits.max_body_bytes")]
#[case("/routes/0/max_attempts", json!(0), "deviation routes[0].max_attempts")]
#[case("/services/0/max_connections", json!(0), "deviation services[0].max_connections")]
#[case("/services/1/engine/slots", json!(0), "deviation services[1].engine.slots")]
#[case("/services/1/engine/stride", json!(0.5), "deviation services[1].engine.stride")]
#[case("/services/1/warmup_per_s", json!(0), "deviation services[1].warmup_per_s")]
#[case("/services/1/warmup_per_s", json!(null), "deviation services[1].warmup_per_s")]
#[case("/services/0/warmup_per_s", json!("6"), "deviation services[0].warmup_per_s")]
#[case("/services/1/warmup_s", json!("3"), "deviation services[1].warmup_s")]
#[case("/services/1/warmup_s", json!(-1), "deviation services[1].warmup_s")]
#[case("/routes/1/prefix", json!("/a/"), "hidden-route routes[1].prefix")]
#[case("/routes/0/hostname", json!("h.example:80"), "host-with-port routes[0].hostname")]
#[case("/routes/0/prefix", json!("/a?b"), "prefix-with-query routes[0].prefix")]
#[case("/routes/0/service", json!("apq"), "unlisted-service routes[0]")]
#[case("/routes/1/traffic_split/0/weight", json!(0), "no-weight routes[1].traffic_split")]
#[case("/routes/0/timeout_ms", json!(0), "zero-limit routes[0].timeout_ms")]
#[case("/limits/max_header_bytes", json!(0), "zero-limit limits.max_header_bytes")]
#[case("/limits/header_timeout_ms", json!(0), "zero-limit limits.header_timeout_ms")]
#[case("/limits/idle_timeout_ms", json!(-1), "zero-limit limits.idle_timeout_ms")]
#[case("/services/-", json!({"name": "app"}), "replaced-service services[0]")]
#[case("/tenants/1/api_keys/0", json!(KEY), "shared-key tenants[0].api_keys[0]")]
fn an_error_is_reported(#[case] pointer: &str, #[case] value: Value, #[case] expected: &str) {
    let text = valid_but(pointer, value).to_string();
    assert_eq!(findings(&text, None).first(), Some(&format!("error {expected}")));
}

// Guards against a mistake that nothing else shows, and against a usable configuration that is rejected.
#[rstest]
#[case("/routes/0/prefix", json!("a/"), "relative-prefix routes[0].prefix")]
#[case("/tenants/1/api_keys/1", json!("d1"), "repeated-key tenants[1].api_keys[1]")]
#[case("/tenants/1/name", json!("brewers"), "repeated-team tenants[1].name")]
#[case("/tenants/0/api_keys", json!([]), "no-keys tenants[0].api_keys")]
#[case("/services/-", json!({"name": "spare"}), "unused-service services[2]")]
#[case("/routes/0/target_latency_ms", json!(1_001), "target-above-timeout routes[0].target_latency_ms")]
#[case("/routes/1/target_gap_ms", json!(8_001), "target-above-timeout routes[1].target_gap_ms")]
#[case("/routes/0/max_attempts", json!(5_701), "too-many-attempts routes[0].max_attempts")]
#[case("/limits/max_body_bytes", json!(0), "no-bodies limits.max_body_bytes")]
fn a_warning_is_reported(#[case] pointer: &str, #[case] value: Value, #[case] expected: &str) {
    let text = valid_but(pointer, value).to_string();
    assert_eq!(findings(&text, None), [format!("warning {expected}")]);
}

#[test]
fn routes_that_need_a_key_while_there_are_none_are_reported() {
    let mut document = valid();
    document.as_object_mut().unwrap().remove("tenants");
    let expected = [0, 1].map(|it| format!("warning no-tenants routes[{it}].anonymous"));
    assert_eq!(findings(&document.to_string(), None), expected);
}

// Guards against an empty list of teams that rejects all callers unnoticed.
#[test]
fn routes_that_need_a_key_which_nobody_has_are_reported() {
    let text = valid_but("/tenants", json!([])).to_string();
    let expected = [0, 1].map(|it| format!("error no-valid-key routes[{it}].anonymous"));
    assert_eq!(findings(&text, None), expected);
}

// Guards against a version that instances ignore, and against a comparison with a file that is no
// configuration.
#[rstest]
#[case::above(&valid_but("/version", json!(6)).to_string(), None)]
#[case::same(&valid().to_string(), Some("error version-not-above version"))]
#[case::below(&valid_but("/version", json!(8)).to_string(), Some("error version-not-above version"))]
#[case::malformed("{", Some("error malformed-in-force file"))]
fn the_version_is_compared_with_the_one_in_force(
    #[case] in_force: &str,
    #[case] expected: Option<&str>,
) {
    let found = findings(&valid().to_string(), Some(in_force));
    assert_eq!(found.first().map(String::as_str), expected);
}

// Guards against an error that the operator has to search for in a long document.
#[rstest]
#[case::syntax("{\"version\": 1,\n \"routes\" []}", "error malformed line 2, column 11")]
#[case::value("{\"version\":\n  -1}", "error malformed version")]
#[case::missing("{}", "error malformed version")]
#[case::list_of_another_type("{\"version\":1,\"routes\":7}", "error malformed routes")]
#[case::empty("", "error malformed line 1, column 0")]
fn errors_of_the_text_name_their_place(#[case] text: &str, #[case] expected: &str) {
    assert_eq!(findings(text, None), [expected]);
}

#[test]
fn a_value_that_the_store_rejects_is_reported() {
    let text = valid().to_string();
    let largest = text.clone() + &" ".repeat(1_048_576 - text.len());
    assert!(findings(&largest, None).is_empty());
    assert_eq!(findings(&format!("{largest} "), None), ["error too-large file"]);
}

// Guards against differences that are missed or made up: fields of each kind of entry, entries that
// come and go, and services by their names.
#[rstest]
#[case("/routes/0/timeout_ms", json!(2_000), "changed: route h.example/a/: timeout: 1000 -> 2000")]
#[case("/routes/0/service", json!("model"), r#"changed: route h.example/a/: services: [["app",1]] -> [["model",1]]"#)]
#[case("/services/0/max_connections", json!(9), "changed: service app: max_connections: 100 -> 9")]
#[case("/services/0/health_path", json!("/up"), r#"changed: service app: health_path: null -> "/up""#)]
#[case("/limits/max_header_bytes", json!(9), "changed: limits: max_header_bytes: 16384 -> 9")]
#[case("/tenants/1/allowed_regions", json!([]), r#"changed: tenant drivers: allowed_regions: ["north"] -> []"#)]
#[case("/tenants", json!([{"name": "brewers", "api_keys": [KEY]}]), "removed: tenant drivers")]
#[case("/services/-", json!({"name": "spare"}), r#"added: service spare: {"engine":null,"health_path":null,"max_connections":100,"name":"spare","warmup":null}"#)]
fn differences_are_shown(#[case] pointer: &str, #[case] value: Value, #[case] expected: &str) {
    let text = valid_but(pointer, value).to_string();
    let (_, differences) = inspect(text.as_bytes(), Some(valid().to_string().as_bytes()));
    let lines: Vec<String> = differences.iter().map(ToString::to_string).collect();
    assert_eq!(lines, [expected]);
}

#[test]
fn another_api_key_is_shown_by_its_hash() {
    let text = valid_but("/tenants/0/api_keys/0", json!("other")).to_string();
    let (_, differences) = inspect(text.as_bytes(), Some(valid().to_string().as_bytes()));
    let hash = blake3::hash(KEY.as_bytes()).to_hex();
    assert_eq!(differences.len(), 1);
    assert_eq!(differences[0].field.as_deref(), Some("api_keys"));
    assert_eq!(differences[0].before, Some(json!([format!("#{}", &hash[..8])])));
    assert_ne!(differences[0].before, differences[0].after);
}

#[test]
fn no_difference_is_shown_of_what_is_read_alike() {
    let mut text = valid_but("/limits/max_body_bytes", json!(4 * 1_024 * 1_024));
    text["tenants"][1]["api_keys"] = json!(["d2", "d1"]);
    let (_, differences) =
        inspect(text.to_string().as_bytes(), Some(valid().to_string().as_bytes()));
    assert!(differences.is_empty(), "{differences:?}");
}

fn run_check(text: &Value, in_force: &Value, format: OutputFormat) -> (Exit, String) {
    let dir = tempfile::tempdir().unwrap();
    let (file, in_force_file) = (dir.path().join("next.json"), dir.path().join("in-force.json"));
    fs::write(&file, text.to_string()).unwrap();
    fs::write(&in_force_file, in_force.to_string()).unwrap();
    let options = Options { file, in_force: Some(in_force_file), format };
    let outcome = check(&options).unwrap();
    let mut out = Vec::new();
    outcome.write(format, &mut out).unwrap();
    (outcome.exit(), String::from_utf8(out).unwrap())
}

// Guards against API keys in terminals and logs of pipelines.
#[rstest]
#[case::shared("/tenants/1/api_keys/0", json!(KEY))]
#[case::repeated("/tenants/0/api_keys/-", json!(KEY))]
#[case::removed("/tenants/0/api_keys", json!(["other"]))]
#[case::in_place_of_a_list("/tenants/0/api_keys", json!(KEY))]
#[case::in_place_of_a_number("/tenants/0/priority", json!(format!("\", expected {KEY}, expected {KEY}")))]
fn no_api_key_is_shown(#[case] pointer: &str, #[case] value: Value) {
    let changed = valid_but(pointer, value);
    for format in [OutputFormat::Text, OutputFormat::Json] {
        for (text, in_force) in [(&changed, &valid()), (&valid(), &changed)] {
            let (_, output) = run_check(text, in_force, format);
            assert!(!output.contains(KEY), "{output}");
        }
    }
}

// Guards against scripts that take a warning for a fault, or a fault for a success.
#[test]
fn only_errors_change_the_exit_code() {
    let in_force = valid_but("/version", json!(6));
    let warned = valid_but("/limits/max_body_bytes", json!(0));
    let (exit, text) = run_check(&warned, &in_force, OutputFormat::Text);
    assert_eq!(exit, Exit::Done);
    assert!(text.contains("next.json: warning: limits.max_body_bytes: with 0,"), "{text}");
    assert!(text.contains("next.json: changed: limits: max_body_bytes: 4194304 -> 0\n"), "{text}");
    assert!(text.ends_with("next.json: valid\n"), "{text}");
    let (exit, text) = run_check(&in_force, &warned, OutputFormat::Text);
    assert_eq!(exit, Exit::Faults);
    assert!(!text.contains("valid\n"), "{text}");
}

// Guards against a change of the output that scripts read.
#[test]
fn json_output_has_findings_and_differences() {
    let text = valid_but("/limits/max_body_bytes", json!(0));
    let (_, output) = run_check(&text, &valid(), OutputFormat::Json);
    let output: Value = serde_json::from_str(&output).unwrap();
    assert_eq!(output["findings"][0]["path"], "version");
    assert_eq!(output["findings"][1]["severity"], "warning");
    assert_eq!(output["differences"][0]["field"], "max_body_bytes");
    assert_eq!(output["differences"][0]["after"], 0);
}
