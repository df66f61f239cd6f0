//! Pages are checked when they come, and templates when they come together.

use rstest::rstest;
use sl_base::{Revision, TeamId};
use sl_config::{
    Clash, Head, Library, Page, PageHash,
    assemble::{AssembleError, clashes},
    head::Accepted,
    page::PageError,
};

fn text(team: &str, credential: &str) -> String {
    let credential = blake3::hash(credential.as_bytes());
    format!("[route r]\npath = /r\npool = p\n[team {team}]\ncredential = {credential}\n")
}

fn head_of(library: &mut Library, texts: &[(&str, String)]) -> Head {
    let mut head = Head { revision: Revision(7), ..Head::default() };
    for (name, text) in texts {
        let page = Page::new(text).unwrap();
        let accepted = Accepted { hash: page.hash(), since: Revision(7) };
        head.pages.insert((*name).to_owned(), accepted);
        library.insert(page);
    }
    head
}

#[test]
fn a_page_with_other_bytes_is_refused() {
    let hash = PageHash::of("a");
    let found = PageHash::of("b");
    let wanted = hash;
    assert_eq!(Page::open(hash, b"b"), Err(PageError::Digest { wanted, found }));
    assert_eq!(Page::open(hash, &[0xff]), Err(PageError::NotText(hash)));
    assert_eq!(Page::open(hash, b"a").unwrap().text(), "a");
    assert_eq!(hash.to_string().parse(), Ok(hash));
}

#[test]
fn missing_pages_are_named_and_the_rest_is_kept() {
    let mut library = Library::default();
    let texts = [("a", text("t", "1")), ("b", text("u", "2"))];
    let head = head_of(&mut library, &texts);
    let config = library.assemble(&head).unwrap();
    assert_eq!(config.revision(), Revision(7));
    assert_eq!(config.team(TeamId::of("u")).unwrap().name, "u");
    let only_a = head_of(&mut Library::default(), &texts[..1]);
    library.retain(&only_a);
    let missing = vec![PageHash::of(&texts[1].1)];
    assert_eq!(library.missing(&head), missing);
    let error = library.assemble(&head).unwrap_err();
    assert!(matches!(error, AssembleError::Missing(it) if it == missing));
}

#[rstest]
#[case::team("t", "2", Clash::Team { team: "t".into(), first: "a".into(), second: "b".into() })]
#[case::credential("u", "1", Clash::Credential { first: "t".into(), second: "u".into() })]
fn templates_that_clash(#[case] team: &str, #[case] credential: &str, #[case] wanted: Clash) {
    let mut library = Library::default();
    let texts = [("a", text("t", "1")), ("b", text(team, credential))];
    let head = head_of(&mut library, &texts);
    match library.assemble(&head) {
        Err(AssembleError::Clashes(found)) => assert_eq!(found, [wanted]),
        other => panic!("{other:?}"),
    }
}

#[test]
fn names_with_the_same_id_clash() {
    let read = |name: &str, team: &str, credential: &str| {
        sl_config::Template::parse(name, &text(team, credential)).unwrap()
    };
    let first = read("a", "t", "1");
    let mut second = read("b", "u", "2");
    second.teams[0].id = first.teams[0].id;
    let found = clashes(&[first.into(), second.into()]);
    let id = TeamId::of("t");
    let wanted = Clash::Id { id, first: "t".into(), second: "u".into() };
    assert_eq!(found, [wanted]);
}
