//! Operators at their terminals: the binary's commands as processes, against the platform's
//! stand-in and running instances.

use std::{fs, path::Path, process::Output, time::Duration};

use bench::{Fleet, instance::OPERATOR_KEY};
use nix::sys::signal::Signal;
use serde_json::Value;
use stand_ins::{chance::Chance, platform::Fault};
use tokio::process::Command;

use crate::bed::{eventually, fleet};

/// Edits that each of two racing operators makes.
const EDITS: u32 = 8;

/// Within how long an accepted configuration is in force everywhere.
const IN_FORCE_MS: &str = "4000";

/// Exit codes, as docs/operating.md lists them.
const DONE: i32 = 0;
const FAULTS: i32 = 3;
const CONFLICT: i32 = 4;
const UNREACHABLE: i32 = 5;
const NOT_EVERYWHERE: i32 = 6;
const UNKNOWN: i32 = 8;
const NOT_FOUND: i32 = 9;

/// A command of an operator.
fn command(fleet: &Fleet, operator: &str, args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sesamelock"));
    command
        .args(args)
        .env("SESAMELOCK_PLATFORM", fleet.platform.url())
        .env("SESAMELOCK_OPERATOR", operator)
        .env("SESAMELOCK_OPERATOR_KEY", OPERATOR_KEY)
        .env_remove("SESAMELOCK_INSTANCE");
    command
}

/// Runs a command and gives its exit code and its output's JSON.
async fn run(fleet: &Fleet, operator: &str, args: &[&str]) -> (i32, Value) {
    let output = command(fleet, operator, args).output().await.unwrap();
    let json = serde_json::from_slice(&output.stdout).unwrap_or_default();
    (code(&output), json)
}

fn code(output: &Output) -> i32 {
    output.status.code().expect("the command ends by itself")
}

fn url(fleet: &Fleet, at: usize) -> String {
    format!("http://{}", fleet.instances[at].operator)
}

/// The site's text with another comment, so that each edit is a change.
fn text(fleet: &Fleet, mark: &str) -> String {
    format!("; {mark}\n{}", fleet.site.text())
}

/// Writes a draft on what `show` tells, and accepts it.
async fn change(fleet: &Fleet, operator: &str, mark: &str, dir: &Path) -> (i32, Value) {
    let name = fleet.site.template;
    let (shown, seen) = run(fleet, operator, &["template", "show", "--json", name]).await;
    if shown != DONE {
        return (shown, seen);
    }
    let base = seen["revision"].to_string();
    let path = dir.join(format!("{mark}.ini"));
    fs::write(&path, text(fleet, mark)).unwrap();
    let file = path.to_str().unwrap();
    let edit = ["template", "edit", "--replace", "--file", file, "--base"];
    let edit = [&edit[..], &[&base, name]].concat();
    let (edited, told) = run(fleet, operator, &edit).await;
    if edited != DONE {
        // A draft that may or may not be there was not accepted.
        return (CONFLICT, told);
    }
    let accept = ["template", "accept", "--json", name];
    run(fleet, operator, &accept).await
}

/// What one operator was told of each own change.
async fn operate(fleet: &Fleet, operator: &str, dir: &Path) -> Vec<(i32, Value)> {
    let mut told = Vec::new();
    for n in 0..EDITS {
        let mark = format!("{operator}-{n}");
        told.push(change(fleet, operator, &mark, dir).await);
    }
    told
}

#[tokio::test(flavor = "multi_thread")]
async fn two_operators_race_while_answers_get_lost() {
    let fleet = fleet(2).await;
    let dir = tempfile::tempdir().unwrap();
    fleet
        .platform
        .fault(Fault {
            lose_answer: Chance::probability(0.2),
            lose_call: Chance::probability(0.1),
            ..Fault::default()
        })
        .await;
    let (gwen, huw) =
        tokio::join!(operate(&fleet, "gwen", dir.path()), operate(&fleet, "huw", dir.path()));
    fleet.platform.fault(Fault::default()).await;
    let (_, told) = run(&fleet, "gwen", &["template", "history", "--json"]).await;
    let changes = told["changes"].as_array().unwrap();
    check_order(changes);
    check_told(changes, "gwen", &gwen);
    check_told(changes, "huw", &huw);
    let done = gwen.iter().chain(&huw).filter(|it| it.0 == DONE).count();
    assert!(done > 0, "{gwen:?} {huw:?}");
    check_in_force(&fleet, &told["revision"]).await;
}

fn check_order(changes: &[Value]) {
    for (newer, older) in changes.iter().zip(&changes[1..]) {
        let revision = |it: &Value| it["revision"].as_u64().unwrap();
        assert_eq!(revision(newer), revision(older) + 1);
        assert_eq!(newer["swaps"][0]["before"], older["swaps"][0]["after"]);
    }
}

/// Each change that an operator was told of is in the history, and no other one of theirs
/// but where they were told that it is not known.
fn check_told(changes: &[Value], operator: &str, told: &[(i32, Value)]) {
    let own = |it: &&Value| it["accepted_by"] == operator;
    let own: Vec<&Value> = changes.iter().filter(own).collect();
    let mut known = 0;
    for (exit, outcome) in told {
        match *exit {
            DONE if outcome["changed"] == true => {
                let by_id = own.iter().find(|it| it["id"] == outcome["change"]);
                let change = by_id.expect("an accepted change is in the history");
                assert_eq!(change["revision"], outcome["revision"]);
                known += 1;
            }
            DONE | CONFLICT | UNKNOWN | UNREACHABLE => {}
            // The other one overwrote the draft, accepted it and so removed it.
            NOT_FOUND => {}
            other => panic!("exit code {other}: {outcome}"),
        }
    }
    let unknown = told.iter().filter(|it| it.0 == UNKNOWN).count();
    assert!(known <= own.len() && own.len() <= known + unknown, "{told:?}");
}

/// Every instance comes to run the last revision.
async fn check_in_force(fleet: &Fleet, revision: &Value) {
    for at in 0..fleet.instances.len() {
        let instance = url(fleet, at);
        let args = ["status", "--json", "--instance", &instance];
        eventually("the last revision everywhere", async || {
            let (_, status) = run(fleet, "gwen", &args).await;
            let instances = status["instances"].as_array();
            instances.is_some_and(|it| {
                it.len() == fleet.instances.len() && it.iter().all(|it| it["revision"] == *revision)
            })
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn accept_names_an_instance_that_does_not_run_the_revision() {
    let fleet = fleet(3).await;
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("edited.ini");
    fs::write(&path, text(&fleet, "edited")).unwrap();
    let (name, file) = (fleet.site.template, path.to_str().unwrap());
    let edit = ["template", "edit", "--file", file, "--base", "1", name];
    assert_eq!(run(&fleet, "gwen", &edit).await.0, DONE);
    let paused = &fleet.instances[2];
    paused.signal(Signal::SIGSTOP);
    let instance = url(&fleet, 0);
    let accept = ["template", "accept", "--json", "--instance", &instance];
    let accept = [&accept[..], &["--wait-ms", IN_FORCE_MS, name]].concat();
    let (exit, outcome) = run(&fleet, "gwen", &accept).await;
    assert_eq!(exit, NOT_EVERYWHERE, "{outcome}");
    // A silent peer does not keep an operator waiting, however often it is asked for.
    for _ in 0..3 {
        let status = ["status", "--json", "--answer-within-ms", "3000"];
        let status = [&status[..], &["--instance", &instance]].concat();
        let (exit, status) = run(&fleet, "gwen", &status).await;
        assert_eq!(exit, DONE);
        assert_eq!(status["silent"], serde_json::json!([paused.name]));
    }
    paused.signal(Signal::SIGCONT);
    assert_eq!(outcome["behind"], serde_json::json!([paused.name]));
    check_in_force(&fleet, &outcome["revision"]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_template_is_not_even_a_draft() {
    let fleet = fleet(1).await;
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("edited.ini");
    let faulty = "[route a]\npath = a\npool = p\n[team t]\nshare = none\ncredential = x\n";
    fs::write(&path, faulty).unwrap();
    let (name, file) = (fleet.site.template, path.to_str().unwrap());
    let edit = ["template", "edit", "--file", file, "--base", "1", name];
    let output = command(&fleet, "gwen", &edit).output().await.unwrap();
    assert_eq!(code(&output), FAULTS);
    let told = String::from_utf8_lossy(&output.stderr);
    for wanted in ["3 faults", "`a` is not a path", "`none`", "`x`"] {
        assert!(told.contains(wanted), "{wanted} is not in\n{told}");
    }
    let diff = ["template", "diff", name];
    let output = command(&fleet, "gwen", &diff).output().await.unwrap();
    assert_ne!(code(&output), DONE);
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_and_an_unreachable_platform_have_their_codes() {
    let mut fleet = fleet(2).await;
    let instance = url(&fleet, 1);
    let drain = ["drain", "--json", "--wait-ms", "20000", &instance];
    let (exit, outcome) = run(&fleet, "gwen", &drain).await;
    assert_eq!((exit, outcome), (DONE, "gone".into()));
    let ended = fleet.instances[1].ended(Duration::from_secs(20)).await;
    assert!(ended.unwrap().success());
    let down = Fault { down: true, ..Fault::default() };
    fleet.platform.fault(down).await;
    let (exit, _) = run(&fleet, "gwen", &["template", "list"]).await;
    assert_eq!(exit, UNREACHABLE);
}
