//! Two operators at once, each with the real command.

use std::{path::Path, process::Command};

use bench::Fleet;
use sl_base::Revision;
use stand_ins::{Chance, platform};

use crate::bed::fleet;

/// Rounds in which both edit and accept at the same time.
const ROUNDS: u64 = 6;

/// How a command ended, and what it said.
struct Said {
    exit: Option<i32>,
    text: String,
}

/// What an operator was told at the end of a round.
struct Told {
    who: &'static str,
    share: u64,
    said: Said,
}

fn sesamelock(platform: &str, args: &[&str]) -> Said {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sesamelock"));
    let command = command.env("SESAMELOCK_PLATFORM", platform);
    let output = command.arg("template").args(args).output().unwrap();
    Said { exit: output.status.code(), text: String::from_utf8(output.stdout).unwrap() }
}

/// Writes a draft of the site's text with another share, over any that is there.
fn replace_draft(fleet: &Fleet, dir: &Path, share: u64, who: &str) {
    let path = dir.join(who);
    let text = fleet.site.text();
    let text = text.replace("share = 8", &format!("share = {share}"));
    std::fs::write(&path, text).unwrap();
    let file = path.to_str().unwrap();
    let edit = ["edit", "--replace", "--file", file, "--base", "1"];
    let edit = [&edit[..], &["--as", who, "te-byw"]].concat();
    assert_eq!(sesamelock(&fleet.platform.url(), &edit).exit, Some(0));
}

/// Edits on top of `base` and accepts, as one operator does without seeing the other.
fn change(platform: &str, file: &Path, base: Revision, who: &str) -> Said {
    let base = base.to_string();
    let file = file.to_str().unwrap();
    let edit = ["edit", "--file", file, "--base", &base, "--as", who];
    let said = sesamelock(platform, &[&edit[..], &["te-byw"]].concat());
    if said.exit != Some(0) {
        return said;
    }
    sesamelock(platform, &["accept", "--json", "--as", who, "te-byw"])
}

async fn race(fleet: &Fleet, share: u64, base: Revision) -> Vec<Told> {
    let dir = tempfile::tempdir().unwrap();
    let mut tasks = Vec::new();
    for (who, share) in [("gwen", share), ("huw", share + 1)] {
        let path = dir.path().join(who);
        let text = fleet.site.text();
        let text = text.replace("share = 8", &format!("share = {share}"));
        std::fs::write(&path, text).unwrap();
        let url = fleet.platform.url();
        let run = move || Told { who, share, said: change(&url, &path, base, who) };
        tasks.push(tokio::task::spawn_blocking(run));
    }
    let mut told = Vec::new();
    for task in tasks {
        told.push(task.await.unwrap());
    }
    told
}

/// Both edit what they saw, so that only one can win. Whoever was told `accepted` finds the
/// own text at the revision that was named, and whoever was told of a conflict does not.
#[tokio::test(flavor = "multi_thread")]
async fn two_operators_at_once_are_each_told_the_truth() {
    let fleet = fleet(2).await;
    let url = fleet.platform.url();
    let fault = platform::Fault { lose_answer: Chance::probability(0.15), ..Default::default() };
    let (mut base, mut won, mut lost) = (Revision(1), 0, 0);
    for round in 0..ROUNDS {
        fleet.platform.fault(fault).await;
        let told = race(&fleet, 10 + 2 * round, base).await;
        fleet.platform.fault(platform::Fault::default()).await;
        let accepted = told.iter().filter(|it| it.said.exit == Some(0));
        assert!(accepted.count() <= 1, "one change was overwritten unseen");
        for it in &told {
            let own = format!("share = {}\n", it.share);
            let Told { who, said, .. } = it;
            match said.exit {
                Some(0) => {
                    won += 1;
                    let json: serde_json::Value = serde_json::from_str(&said.text).unwrap();
                    let revision = json["revision"].to_string();
                    let revision = revision.trim_matches('"');
                    let shown = sesamelock(&url, &["show", "--revision", revision, "te-byw"]);
                    assert!(shown.text.contains(&own), "{who} at {revision}");
                }
                Some(4) => {
                    lost += 1;
                    let shown = sesamelock(&url, &["show", "te-byw"]);
                    assert!(!shown.text.contains(&own), "{who} was told of a conflict");
                }
                Some(5 | 8) => {}
                other => panic!("{who}: {other:?} {}", said.text),
            }
        }
        let history = sesamelock(&url, &["history", "--json", "te-byw"]);
        let json: serde_json::Value = serde_json::from_str(&history.text).unwrap();
        let newest = json["changes"][0]["revision"].to_string();
        base = Revision(newest.trim_matches('"').parse().unwrap());
        sesamelock(&url, &["discard", "te-byw"]);
    }
    assert!(won > 0 && lost > 0, "{won} won, {lost} lost");
}

/// Who accepts a draft that another wrote over the own one must learn of it.
#[tokio::test(flavor = "multi_thread")]
async fn an_operator_whose_draft_was_replaced_is_told_at_accept() {
    let fleet = fleet(1).await;
    let dir = tempfile::tempdir().unwrap();
    replace_draft(&fleet, dir.path(), 20, "gwen");
    replace_draft(&fleet, dir.path(), 30, "huw");
    let accept = ["accept", "--json", "--as", "gwen", "te-byw"];
    let said = sesamelock(&fleet.platform.url(), &accept);
    let is_told = said.exit != Some(0) || said.text.contains("huw");
    assert!(is_told, "{:?} {}", said.exit, said.text);
}
