//! Slopes of the spread of configuration: by templates, teams and changes.

use std::{collections::BTreeMap, fmt::Write as _};

use sl_base::{Revision, Timestamp};
use sl_config::{
    Change, ChangeId, Head, Library, Page, Template,
    head::{Accepted, HISTORY_MAX, Swap},
};

use crate::{
    Series,
    fit::{nanos, resident},
    sweep,
};

const AREA: &str = "spread";
const TEMPLATES: [u64; 4] = [10, 100, 300, 600];
const CHANGES: [u64; 4] = [1, 10, 25, 50];
const TEAMS: [u64; 4] = [10, 50, 200, 800];
/// Teams of each template where the number of templates is varied.
const TEAMS_EACH: u64 = 10;
/// Templates where the number of changes is varied.
const TEMPLATES_FIXED: u64 = 100;

/// All quantities.
pub fn series() -> Vec<Series> {
    vec![
        sweep(
            AREA,
            "resident bytes of pages, templates and index, 10 teams each",
            "templates",
            &TEMPLATES,
            memory,
        ),
        sweep(AREA, "bytes of a head, 50 changes", "templates", &TEMPLATES, |n| {
            bytes_of(&head(n, HISTORY_MAX as u64))
        }),
        sweep(
            AREA,
            "bytes of a head between instances, 50 changes",
            "templates",
            &TEMPLATES,
            |n| wire_bytes_of(&head(n, HISTORY_MAX as u64)),
        ),
        sweep(AREA, "bytes of a head, 100 templates", "changes it remembers", &CHANGES, |n| {
            bytes_of(&head(TEMPLATES_FIXED, n))
        }),
        sweep(AREA, "bytes of a page", "teams", &TEAMS, |n| text(0, n).len() as f64),
        sweep(AREA, "ns of reading one changed page", "teams", &TEAMS, parse),
        sweep(
            AREA,
            "ns of assembling, one page changed, 10 teams each",
            "templates",
            &TEMPLATES,
            assemble,
        ),
        sweep(AREA, "ns of decoding a head, 50 changes", "templates", &TEMPLATES, decode),
    ]
}

pub(crate) fn name(template: u64) -> String {
    format!("template-{template:04}")
}

/// The text of a template with `teams` teams of its own.
pub(crate) fn text(template: u64, teams: u64) -> String {
    let mut text = "[route chat]\npath = /v1/chat/*\nmethods = POST\npool = drafting\n\
        idempotent = yes\norder = 10\ncost = tokens\nhint = 256\nqueue-within-ms = 30000\n"
        .to_owned();
    for team in 0..teams {
        let team = format!("team-{template}-{team}");
        let hash = blake3::hash(team.as_bytes()).to_hex();
        // Writing into a string cannot fail.
        let _ =
            write!(text, "\n[team {team}]\nshare = 3\ncredential = {hash}\nqueue-max = 100000\n");
    }
    text
}

/// A head over `pages`, as after `changes` changes.
pub(crate) fn head_of(pages: &BTreeMap<String, Page>, changes: u64) -> Head {
    let accepted = |page: &Page| Accepted { hash: page.hash(), since: Revision(1) };
    let swap = |(name, page): (&String, &Page)| Swap {
        name: name.clone(),
        before: Some(page.hash()),
        after: Some(page.hash()),
    };
    let change = |n| Change {
        revision: Revision(n),
        id: ChangeId([n as u8; 16]),
        accepted_by: "an-operator".to_owned(),
        at: Timestamp::from_micros(1_700_000_000_000_000),
        swaps: pages.iter().take(1).map(swap).collect(),
    };
    Head {
        revision: Revision(changes),
        pages: pages.iter().map(|(name, page)| (name.clone(), accepted(page))).collect(),
        history: (1..=changes).map(change).collect(),
    }
}

/// The pages of `templates` templates with `teams` teams each.
pub(crate) fn pages(templates: u64, teams: u64) -> BTreeMap<String, Page> {
    let page = |n| Some((name(n), Page::new(&text(n, teams)).ok()?));
    (0..templates).filter_map(page).collect()
}

fn head(templates: u64, changes: u64) -> Head {
    head_of(&pages(templates, 1), changes)
}

fn bytes_of(head: &Head) -> f64 {
    head.encode().map_or(0.0, |it| it.len() as f64)
}

fn wire_bytes_of(head: &Head) -> f64 {
    postcard::to_stdvec(head).map_or(0.0, |it| it.len() as f64)
}

fn parse(teams: u64) -> f64 {
    let text = text(0, teams);
    nanos(20, |_| Template::parse("template", &text).is_ok())
}

fn library(templates: u64) -> (Library, Head) {
    let pages = pages(templates, TEAMS_EACH);
    let head = head_of(&pages, HISTORY_MAX as u64);
    let mut library = Library::default();
    for page in pages.into_values() {
        library.insert(page);
    }
    (library, head)
}

fn assemble(templates: u64) -> f64 {
    let (mut library, head) = library(templates);
    if let Err(e) = library.assemble(&head) {
        eprintln!("{AREA}: {e}");
    }
    let changed = |turn: u64| Page::new(&(text(0, TEAMS_EACH) + &format!("; {turn}\n"))).ok();
    let mut next = head;
    nanos(10, |call| {
        let page = changed(call)?;
        if let Some(accepted) = next.pages.get_mut(&name(0)) {
            accepted.hash = page.hash();
        }
        library.insert(page);
        let config = library.assemble(&next).ok();
        library.retain(&next);
        config
    })
}

fn decode(templates: u64) -> f64 {
    let bytes = head(templates, HISTORY_MAX as u64).encode().unwrap_or_default();
    nanos(50, |_| Head::decode(&bytes).is_ok())
}

fn memory(templates: u64) -> f64 {
    const COPIES: usize = 20;
    let before = resident();
    let build = || {
        let (mut library, head) = library(templates);
        let config = library.assemble(&head).ok();
        (library, head, config)
    };
    let built: Vec<_> = (0..COPIES).map(|_| build()).collect();
    let bytes = (resident() - before) / COPIES as f64;
    std::mem::forget(built);
    bytes
}
