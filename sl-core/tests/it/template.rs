//! Operators edit and accept templates, together and with lost answers.

use std::{fs, path::PathBuf};

use rstest::rstest;
use sl_base::{Millis, Revision};
use sl_config::Head;
use sl_core::{
    Exit, Form,
    template::{self, accept, diff, discard, edit, history, list, show},
};

use crate::memory::{Fault, Memory};

fn text(team: &str, share: u32) -> String {
    let credential = blake3::hash(team.as_bytes());
    format!(
        "; a comment that stays\n[route r]\npath = /r\npool = p\n\
         [team {team}]\nshare = {share}\ncredential = {credential}\n"
    )
}

/// A file of an operator.
fn file(dir: &tempfile::TempDir, text: &str) -> PathBuf {
    let path = dir.path().join("edited.ini");
    fs::write(&path, text).unwrap();
    path
}

fn options(name: &str, by: &str, source: edit::Source) -> edit::Options {
    edit::Options { name: name.to_owned(), source, by: by.to_owned(), replace: false, editor: None }
}

async fn draft(
    store: &Memory,
    name: &str,
    by: &str,
    text: &str,
    base: u64,
) -> Result<edit::Outcome, edit::Error> {
    let dir = tempfile::tempdir().unwrap();
    let path = file(&dir, text);
    let base = Revision(base);
    edit::edit(store, &options(name, by, edit::Source::File { path, base })).await
}

async fn accept(store: &Memory, names: &[&str]) -> Result<accept::Outcome, accept::Error> {
    accept_of(store, names, "gwen").await
}

async fn accept_of(
    store: &Memory,
    names: &[&str],
    of: &str,
) -> Result<accept::Outcome, accept::Error> {
    let options = accept::Options {
        names: names.iter().map(ToString::to_string).collect(),
        of: of.to_owned(),
        by: "gwen".to_owned(),
        wait: Millis(0),
    };
    accept::accept(store, None, &options).await
}

async fn discarded(store: &Memory, name: &str) -> Result<discard::Outcome, template::Error> {
    let options = discard::Options { name: name.to_owned(), of: "gwen".to_owned() };
    discard::discard(store, &options).await
}

async fn shown(store: &Memory, name: &str, which: show::Which) -> Result<String, template::Error> {
    let name = name.to_owned();
    let outcome = show::show(store, &show::Options { name, which }).await?;
    Ok(outcome.text.unwrap_or_default())
}

fn head(store: &Memory) -> Head {
    Head::decode(&store.get("config/head").unwrap()).unwrap()
}

#[tokio::test]
async fn a_template_goes_from_file_to_history() {
    let store = Memory::default();
    draft(&store, "a", "gwen", &text("t", 1), 0).await.unwrap();
    assert!(store.get("config/head").is_none());
    let outcome = accept(&store, &["a"]).await.unwrap();
    assert_eq!((outcome.revision, outcome.changed), (Revision(1), true));
    assert!(store.get("config/draft/a").is_none());

    draft(&store, "a", "gwen", &text("t", 2), 1).await.unwrap();
    let compared = diff::diff(&store, "a").await.unwrap();
    assert!(compared.draft.contains("-share = 1\n+share = 2\n"));
    assert!(compared.theirs.is_empty());
    accept(&store, &["a"]).await.unwrap();

    let now = shown(&store, "a", show::Which::Accepted).await.unwrap();
    assert_eq!(now, text("t", 2));
    let before = shown(&store, "a", show::Which::At(Revision(1))).await;
    assert_eq!(before.unwrap(), text("t", 1));
    let listed = list::list(&store).await.unwrap();
    assert_eq!(listed.templates[0].since, Revision(2));
    let told = history::history(&store, Some("a")).await.unwrap();
    assert_eq!(told.changes.len(), 2);
    assert_eq!(told.changes[0].revision, Revision(2));
    let mut out = Vec::new();
    told.write(Form::Text, &mut out).unwrap();
    assert!(String::from_utf8(out).unwrap().contains("by gwen"));
}

#[tokio::test]
async fn the_loser_of_a_race_is_shown_the_others_change() {
    let store = Memory::default();
    draft(&store, "a", "gwen", &text("t", 1), 0).await.unwrap();
    accept(&store, &["a"]).await.unwrap();
    // Both saw revision 1; the draft of the first is accepted before that of the second.
    draft(&store, "a", "gwen", &text("t", 5), 1).await.unwrap();
    accept(&store, &["a"]).await.unwrap();
    draft(&store, "a", "huw", &text("t", 7), 1).await.unwrap();
    let error = accept_of(&store, &["a"], "huw").await.unwrap_err();
    assert_eq!(error.exit(), Exit::Conflict);
    let accept::Error::Conflict { conflict, between } = &error else {
        panic!("{error}");
    };
    assert_eq!(conflict.theirs[0].revision, Revision(2));
    assert!(between.contains("-share = 1\n+share = 5\n"), "{between}");
    let report = format!("{:?}", miette::Report::new(error));
    assert!(report.contains("revision 2 by gwen"), "{report}");
    let now = shown(&store, "a", show::Which::Accepted).await.unwrap();
    assert_eq!(now, text("t", 5));
    let kept = shown(&store, "a", show::Which::Draft).await.unwrap();
    assert_eq!(kept, text("t", 7), "the loser's draft is kept");
}

#[rstest]
#[case::call(Fault::LostCall)]
#[case::answer(Fault::LostAnswer)]
#[case::refused(Fault::Refused)]
#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_made_good(
    #[case] fault: Fault,
    #[values("config/draft/", "config/page/", "config/head")] key: &'static str,
) {
    let store = Memory::default();
    store.fail(key, fault);
    store.fail(key, fault);
    draft(&store, "a", "gwen", &text("t", 1), 0).await.unwrap();
    let outcome = accept(&store, &["a"]).await.unwrap();
    assert_eq!((outcome.revision, outcome.changed), (Revision(1), true));
    assert_eq!(head(&store).history.len(), 1);
    assert!(outcome.drafts_left.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_head_that_never_answers_leaves_it_unknown() {
    let store = Memory::default();
    draft(&store, "a", "gwen", &text("t", 1), 0).await.unwrap();
    for _ in 0..sl_config::accept::FAILURES_MAX {
        store.fail("config/head", Fault::LostCall);
    }
    let error = accept(&store, &["a"]).await.unwrap_err();
    assert_eq!(error.exit(), Exit::Unknown);
    assert!(store.get("config/draft/a").is_some());
    let again = accept(&store, &["a"]).await.unwrap();
    assert_eq!((again.revision, again.changed), (Revision(1), true));
}

#[tokio::test]
async fn drafts_are_accepted_together_or_not_at_all() {
    let store = Memory::default();
    draft(&store, "a", "gwen", &text("t", 1), 0).await.unwrap();
    draft(&store, "b", "gwen", &text("t", 1), 0).await.unwrap();
    let error = accept(&store, &["a", "b"]).await.unwrap_err();
    assert_eq!(error.exit(), Exit::Faults);
    let report = format!("{:?}", miette::Report::new(error));
    assert!(report.contains("the team `t` stands in `a` and in `b`"), "{report}");
    assert!(store.get("config/head").is_none());

    draft(&store, "b", "gwen", &text("u", 1), 0).await.unwrap();
    let outcome = accept(&store, &["a", "b"]).await.unwrap();
    assert_eq!(outcome.revision, Revision(1));
    assert_eq!(head(&store).pages.len(), 2);
}

#[tokio::test]
async fn a_draft_of_another_is_not_overwritten_unasked() {
    let store = Memory::default();
    draft(&store, "a", "gwen", &text("t", 1), 0).await.unwrap();
    let error = draft(&store, "a", "huw", &text("t", 2), 0).await.unwrap_err();
    assert_eq!(error.exit(), Exit::Conflict);
    let kept = shown(&store, "a", show::Which::Draft).await.unwrap();
    assert_eq!(kept, text("t", 1));
    let outcome = discarded(&store, "a").await.unwrap();
    assert_eq!(outcome.discarded.written_by, "gwen");
    draft(&store, "a", "huw", &text("t", 2), 0).await.unwrap();
}

#[tokio::test]
async fn a_draft_that_another_overwrote_is_not_accepted_as_ones_own() {
    let store = Memory::default();
    draft(&store, "a", "gwen", &text("t", 1), 0).await.unwrap();
    let dir = tempfile::tempdir().unwrap();
    let path = file(&dir, &text("t", 2));
    let base = Revision(0);
    let mut options = options("a", "huw", edit::Source::File { path, base });
    options.replace = true;
    edit::edit(&store, &options).await.unwrap();
    let error = accept(&store, &["a"]).await.unwrap_err();
    assert_eq!(error.exit(), Exit::Conflict);
    let error = discarded(&store, "a").await.unwrap_err();
    assert_eq!(error.exit(), Exit::Conflict);
    assert!(store.get("config/head").is_none());
    accept_of(&store, &["a"], "huw").await.unwrap();
    let now = shown(&store, "a", show::Which::Accepted).await.unwrap();
    assert_eq!(now, text("t", 2));
}

#[tokio::test]
async fn a_template_is_removed() {
    let store = Memory::default();
    draft(&store, "a", "gwen", &text("t", 1), 0).await.unwrap();
    accept(&store, &["a"]).await.unwrap();
    let base = Revision(1);
    let removal = options("a", "gwen", edit::Source::Removal { base });
    edit::edit(&store, &removal).await.unwrap();
    assert_eq!(accept(&store, &["a"]).await.unwrap().revision, Revision(2));
    let error = shown(&store, "a", show::Which::Accepted).await.unwrap_err();
    assert_eq!(error.exit(), Exit::NotFound);
    let before = shown(&store, "a", show::Which::At(base)).await.unwrap();
    assert_eq!(before, text("t", 1));
}

/// An editor that puts `text` into the file that it is given.
fn editor(dir: &tempfile::TempDir, text: &str) -> Option<String> {
    Some(format!("cp {}", file(dir, text).display()))
}

#[tokio::test]
async fn an_editor_opens_the_draft_and_else_the_accepted_text() {
    let store = Memory::default();
    let dir = tempfile::tempdir().unwrap();
    let mut options = options("a", "gwen", edit::Source::Editor);
    options.editor = editor(&dir, &text("t", 1));
    let outcome = edit::edit(&store, &options).await.unwrap();
    assert_eq!((outcome.base, outcome.written), (Revision(0), true));
    accept(&store, &["a"]).await.unwrap();
    let unchanged = edit::edit(&store, &options).await.unwrap();
    assert_eq!((unchanged.base, unchanged.written), (Revision(1), false));
    assert!(store.get("config/draft/a").is_none());
}

#[tokio::test]
async fn a_faulty_text_is_kept_for_its_author() {
    let store = Memory::default();
    let dir = tempfile::tempdir().unwrap();
    let mut options = options("a", "gwen", edit::Source::Editor);
    options.editor = editor(&dir, "[route r]\n");
    let error = edit::edit(&store, &options).await.unwrap_err();
    assert_eq!(error.exit(), Exit::Faults);
    let edit::Error::Kept { path, .. } = error else {
        panic!("{error}");
    };
    assert_eq!(fs::read_to_string(&path).unwrap(), "[route r]\n");
    fs::remove_file(path).unwrap();
    assert!(store.get("config/draft/a").is_none());
}

#[rstest]
#[case::faults("[route r]\n", 0, Exit::Faults)]
#[case::future_base(&text("t", 1), 1, Exit::NotFound)]
#[tokio::test]
async fn a_bad_edit_writes_nothing(#[case] text: &str, #[case] base: u64, #[case] exit: Exit) {
    let store = Memory::default();
    let error = draft(&store, "a", "gwen", text, base).await.unwrap_err();
    assert_eq!(error.exit(), exit);
    assert!(store.get("config/draft/a").is_none());
}

#[tokio::test]
async fn what_is_not_there_is_said_so() {
    let store = Memory::default();
    let accepted = accept(&store, &["a"]).await.unwrap_err();
    assert_eq!(accepted.exit(), Exit::NotFound);
    let discarded = discarded(&store, "a").await.unwrap_err();
    assert_eq!(discarded.exit(), Exit::NotFound);
    let shown = shown(&store, "a", show::Which::Accepted).await.unwrap_err();
    assert_eq!(shown.exit(), Exit::NotFound);
}
