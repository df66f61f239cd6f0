//! `check settings` reports all faults of a file, each with its line.

use std::{fs, path::PathBuf};

use sl_core::{
    Exit, OutputFormat,
    check::{Options, check},
};

const VALID: &str = include_str!("../../../examples/settings.ini");

fn run_check(dir: &tempfile::TempDir, text: &str, format: OutputFormat) -> (Exit, String) {
    let path: PathBuf = dir.path().join("settings.ini");
    fs::write(&path, text).unwrap();
    let options = Options { files: vec![path], format };
    let outcome = check(&options).unwrap();
    let mut out = Vec::new();
    outcome.write(format, &mut out).unwrap();
    (outcome.exit(), String::from_utf8(out).unwrap())
}

fn settings_with_three_faults() -> String {
    VALID
        .replace("caller = 127.0.0.1:8100", "caller = localhost")
        .replace("[bounds]", "[bound]")
        .replace("stop-within-ms = 30000", "stop-within-ms = 2s")
}

#[test]
fn text_output_lists_all_faults() {
    let dir = tempfile::tempdir().unwrap();
    let (exit, text) = run_check(&dir, &settings_with_three_faults(), OutputFormat::Text);
    assert_eq!(exit, Exit::Faults);
    for expected in [
        "3 faults in",
        "`localhost` is not an IP address",
        "caller = localhost",
        "unknown section `bound`",
        "did you mean `bounds`?",
        "`2s` is not an unsigned integer",
    ] {
        assert!(text.contains(expected), "{expected} is not in\n{text}");
    }
}

#[test]
fn json_output_has_one_row_per_fault() {
    let dir = tempfile::tempdir().unwrap();
    let settings = settings_with_three_faults();
    let (exit, text) = run_check(&dir, &settings, OutputFormat::Json);
    let rows: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(exit, Exit::Faults);
    assert_eq!(rows.as_array().unwrap().len(), 3);
    for (row, start) in ["caller =", "[bound]", "stop-within-ms"].iter().enumerate() {
        let line = 1 + settings.lines().position(|it| it.starts_with(start)).unwrap();
        assert_eq!(rows[row]["line"], line);
    }
}

#[test]
fn a_valid_file_is_reported_as_valid() {
    let dir = tempfile::tempdir().unwrap();
    let (exit, text) = run_check(&dir, VALID, OutputFormat::Text);
    assert_eq!(exit, Exit::Done);
    assert!(text.ends_with("settings.ini: valid\n"));
}
