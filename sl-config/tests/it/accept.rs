//! Several operators accept edits of the same templates while answers get lost. The
//! platform's record of the head is the judge of what each of them was told.

use std::collections::BTreeMap;

use proptest::prelude::*;
use sl_base::{Revision, Timestamp, call::Call};
use sl_config::{
    Change, ChangeId, Head, Library, Page,
    accept::{Acceptance, Base, Edit, Ended, Next, Stamp, plan},
    head,
};

use crate::platform::{Fault, Platform};

const OPERATORS: usize = 3;
const TEMPLATES: [&str; 3] = ["a", "b", "c"];

#[derive(Clone, Debug)]
struct Step {
    operator: usize,
    template: usize,
    fault: Fault,
    arrives: bool,
    removes: bool,
    clashes: bool,
    edits_two: bool,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        6 => Just(Fault::None),
        1 => Just(Fault::Refused),
        1 => Just(Fault::LostCall),
        2 => Just(Fault::LostAnswer),
        2 => Just(Fault::Late),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let which = (0..OPERATORS, 0..TEMPLATES.len(), fault());
    let odds = (
        any::<bool>(),
        prop::bool::weighted(0.1),
        prop::bool::weighted(0.1),
        prop::bool::weighted(0.3),
    );
    (which, odds).prop_map(|((operator, template, fault), odds)| Step {
        operator,
        template,
        fault,
        arrives: odds.0,
        removes: odds.1,
        clashes: odds.2,
        edits_two: odds.3,
    })
}

/// A template's text; two that clash have the same team.
fn text(template: &str, number: u64, clashes: bool) -> String {
    let team = if clashes { "everyone" } else { template };
    let credential = blake3::hash(team.as_bytes());
    format!(
        "; edit {number}\n[route r]\npath = /{template}\npool = p\n\
         [team {team}]\ncredential = {credential}\n"
    )
}

/// An operator between two edits, or in the middle of one.
#[derive(Default)]
struct Operator {
    under_way: Option<(Stamp, Vec<Edit>, Acceptance, Call)>,
}

#[derive(Default)]
struct World {
    platform: Platform,
    edits: u64,
    told: Vec<(Stamp, Vec<Edit>, Ended)>,
    /// What an instance runs that is shown the head at random moments, also late.
    running: Revision,
    shown: Vec<Head>,
    written_when_shown: usize,
}

impl World {
    fn head(&self) -> Head {
        let value = self.platform.get(head::KEY);
        value.map_or_else(Head::default, |it| Head::decode(it).unwrap())
    }

    fn begin(&mut self, step: &Step) -> (Stamp, Vec<Edit>, Acceptance, Call) {
        self.edits += 1;
        let mut edits = vec![self.edit(step, step.template)];
        if step.edits_two {
            edits.push(self.edit(step, (step.template + 1) % TEMPLATES.len()));
        }
        let stamp = stamp(self.edits);
        let acceptance = Acceptance::new(stamp.clone(), edits.clone());
        let call = acceptance.first();
        (stamp, edits, acceptance, call)
    }

    fn edit(&self, step: &Step, template: usize) -> Edit {
        let name = TEMPLATES[template];
        let head = self.head();
        let after = Page::new(&text(name, self.edits, step.clashes)).unwrap();
        Edit {
            name: name.to_owned(),
            base: Base { revision: head.revision, page: head.page(name) },
            after: (!step.removes).then_some(after),
        }
    }

    fn act(&mut self, operator: &mut Operator, step: &Step) {
        if step.arrives {
            self.platform.arrive();
        }
        let begun = operator.under_way.take();
        let (stamp, edits, mut acceptance, call) = begun.unwrap_or_else(|| self.begin(step));
        let reply = self.platform.call(&call, step.fault);
        match acceptance.step(reply) {
            Next::Call(call) => operator.under_way = Some((stamp, edits, acceptance, call)),
            Next::Done(ended) => self.told.push((stamp, edits, *ended)),
        }
        self.show();
    }

    /// Shows the instance this head or one that it was shown before.
    fn show(&mut self) {
        if self.platform.written.len() > self.written_when_shown {
            self.written_when_shown = self.platform.written.len();
            self.shown.push(self.head());
        }
        if self.shown.is_empty() {
            return;
        }
        let late = &self.shown[self.shown.len() / 2];
        for head in [late, &self.shown[self.shown.len() - 1]] {
            if head.supersedes(self.running) {
                assert!(head.revision > self.running);
                self.running = head.revision;
            }
        }
    }

    fn heads(&self) -> Vec<Head> {
        let of_head = |it: &&(String, bytes::Bytes)| it.0 == head::KEY;
        let values = self.platform.written.iter().filter(of_head);
        values.map(|it| Head::decode(&it.1).unwrap()).collect()
    }

    fn library(&self) -> Library {
        let mut library = Library::default();
        for (key, value) in &self.platform.written {
            if let Some(hash) = key.strip_prefix("config/page/") {
                library.insert(Page::open(hash.parse().unwrap(), value).unwrap());
            }
        }
        library
    }
}

fn stamp(number: u64) -> Stamp {
    let mut id = [0; head::CHANGE_ID_BYTES];
    id[..8].copy_from_slice(&number.to_le_bytes());
    Stamp {
        id: ChangeId(id),
        accepted_by: format!("operator-{number}"),
        at: Timestamp::from_micros(number),
    }
}

/// Runs a schedule to its end; whoever is in the middle then goes on without faults.
fn run(steps: &[Step]) -> World {
    let mut world = World::default();
    let mut operators: [Operator; OPERATORS] = Default::default();
    for step in steps {
        world.act(&mut operators[step.operator], step);
    }
    for operator in &mut operators {
        while operator.under_way.is_some() {
            let step = Step {
                operator: 0,
                template: 0,
                fault: Fault::None,
                arrives: true,
                removes: false,
                clashes: false,
                edits_two: false,
            };
            world.act(operator, &step);
        }
    }
    while world.platform.has_late() {
        world.platform.arrive();
    }
    world.show();
    world
}

/// Each head is the one before with its own swaps, and nothing else.
fn check_order(heads: &[Head]) {
    let mut before = Head::default();
    for head in heads {
        assert_eq!(head.revision.0, before.revision.0 + 1, "one total order");
        let change = head.last().expect("a head has the change that made it");
        let mut pages: BTreeMap<_, _> = pages(&before);
        for swap in &change.swaps {
            assert_eq!(swap.before, before.page(&swap.name));
            match swap.after {
                Some(after) => pages.insert(swap.name.clone(), after),
                None => pages.remove(&swap.name),
            };
        }
        assert_eq!(pages, self::pages(head), "an accepted change was lost");
        before = head.clone();
    }
}

fn pages(head: &Head) -> BTreeMap<String, sl_config::PageHash> {
    let pages = head.pages.iter();
    pages.map(|(name, it)| (name.clone(), it.hash)).collect()
}

fn hash_after(edit: &Edit) -> Option<sl_config::PageHash> {
    edit.after.as_ref().map(Page::hash)
}

/// What an operator was told is what the platform's record says.
fn check_told(world: &World, heads: &[Head]) {
    let before = |head: &Head| match head.revision.0 {
        1 => Head::default(),
        revision => heads[revision as usize - 2].clone(),
    };
    let made_by = |id: ChangeId| heads.iter().find(|it| it.last().unwrap().id == id);
    for (stamp, edits, ended) in &world.told {
        match ended {
            Ended::Accepted { revision } => {
                let head = made_by(stamp.id).expect("an accepted change is in the record");
                assert_eq!(head.revision, *revision);
                for edit in edits {
                    let mut swaps = head.last().unwrap().swaps.iter();
                    match swaps.find(|it| it.name == edit.name) {
                        Some(swap) => assert_eq!(swap.before, edit.base.page),
                        // Another change had the same end before.
                        None => assert_eq!(before(head).page(&edit.name), hash_after(edit)),
                    }
                    assert_eq!(head.page(&edit.name), hash_after(edit));
                }
            }
            Ended::Unknown => {}
            Ended::Conflict(conflict) => {
                assert!(made_by(stamp.id).is_none(), "told of a conflict, but accepted");
                let others = |it: &Change| made_by(it.id).is_some() && it.id != stamp.id;
                assert!(!conflict.theirs.is_empty());
                assert!(conflict.theirs.iter().all(others));
            }
            Ended::Unchanged { revision } => {
                assert!(made_by(stamp.id).is_none());
                let seen = heads.iter().find(|it| it.revision == *revision);
                for edit in edits {
                    let page = seen.and_then(|it| it.page(&edit.name));
                    assert_eq!(page, hash_after(edit));
                }
            }
            Ended::Damaged(what) => panic!("nothing is damaged, but: {what}"),
            Ended::TooLarge => panic!("nothing is large"),
            Ended::Faulty(_) | Ended::Busy | Ended::Unreachable => {
                assert!(made_by(stamp.id).is_none(), "told {ended:?}, but accepted");
            }
        }
    }
}

proptest! {
    #![proptest_config(crate::seeds::long())]

    /// Accepted configurations are one total order, none is lost or taken back, each can be
    /// run, and each operator learns what came of the own edit.
    #[test]
    fn operators_learn_the_truth(steps in prop::collection::vec(step(), 1..400)) {
        let world = run(&steps);
        let heads = world.heads();
        check_order(&heads);
        check_told(&world, &heads);
        let mut library = world.library();
        for head in &heads {
            prop_assert!(library.assemble(head).is_ok());
        }
        prop_assert_eq!(world.running, world.head().revision);
    }
}

#[test]
fn the_schedules_reach_every_end() {
    use proptest::{strategy::ValueTree, test_runner::TestRunner};
    let mut runner = TestRunner::new(crate::seeds::config());
    let schedule = prop::collection::vec(step(), 400);
    let mut seen = BTreeMap::<&str, usize>::new();
    for _ in 0..64 {
        let steps = schedule.new_tree(&mut runner).unwrap().current();
        for (.., ended) in run(&steps).told {
            let name = match ended {
                Ended::Accepted { .. } => "accepted",
                Ended::Unchanged { .. } => "unchanged",
                Ended::Conflict(_) => "conflict",
                Ended::Faulty(_) => "faulty",
                Ended::Unreachable => "unreachable",
                Ended::Unknown => "unknown",
                other => panic!("{other:?}"),
            };
            *seen.entry(name).or_default() += 1;
        }
    }
    for name in ["accepted", "conflict", "faulty", "unreachable", "unknown"] {
        assert!(seen.get(name) > Some(&8), "{seen:?}");
    }
}

fn accepted(head: &Head, number: u64, name: &str) -> Head {
    let edit = Edit {
        name: name.to_owned(),
        base: Base { revision: head.revision, page: head.page(name) },
        after: Some(Page::new(&text(name, number, false)).unwrap()),
    };
    plan(head, &[edit], &stamp(number)).unwrap().unwrap()
}

#[test]
fn history_is_bounded_and_tells_the_page_at_a_revision() {
    let mut head = Head::default();
    for number in 1..=200 {
        head = accepted(&head, number, TEMPLATES[number as usize % 3]);
    }
    assert_eq!(head.history.len(), head::HISTORY_MAX);
    assert_eq!(head.reaches_back_to(), Revision(150));
    let at = |revision| head.page_at("b", Revision(revision));
    let page = |number| Some(Page::new(&text("b", number, false)).unwrap().hash());
    assert_eq!(at(199), page(199));
    assert_eq!(at(198), page(196));
    assert_eq!(Head::decode(&head.encode().unwrap()).unwrap(), head);
}

#[test]
fn an_edit_of_another_template_is_no_conflict() {
    let base = accepted(&Head::default(), 1, "a");
    let head = accepted(&base, 2, "b");
    let edit = Edit {
        name: "a".to_owned(),
        base: Base { revision: base.revision, page: base.page("a") },
        after: None,
    };
    let next = plan(&head, &[edit], &stamp(3)).unwrap().unwrap();
    assert_eq!(next.revision, Revision(3));
    assert_eq!(next.page("a"), None);
}

#[test]
fn a_head_that_went_back_is_not_built_upon() {
    let seen = accepted(&accepted(&Head::default(), 1, "a"), 2, "b");
    let edit = Edit {
        name: "c".to_owned(),
        base: Base { revision: seen.revision, page: None },
        after: Some(Page::new(&text("c", 3, false)).unwrap()),
    };
    let mut acceptance = Acceptance::new(stamp(3), vec![edit]);
    let next = acceptance.step(Platform::default().call(&acceptance.first(), Fault::None));
    let Next::Done(ended) = next else {
        panic!("{next:?}");
    };
    assert!(matches!(*ended, Ended::Damaged(_)), "{ended:?}");
}

#[test]
fn a_page_that_was_changed_and_changed_back_is_a_conflict() {
    let base = accepted(&Head::default(), 1, "a");
    let head = accepted(&accepted(&base, 2, "a"), 1, "a");
    let edit = Edit {
        name: "a".to_owned(),
        base: Base { revision: base.revision, page: base.page("a") },
        after: None,
    };
    let conflict = plan(&head, &[edit], &stamp(9)).unwrap_err();
    let theirs: Vec<u64> = conflict.theirs.iter().map(|it| it.revision.0).collect();
    assert_eq!((conflict.now, theirs), (base.page("a"), vec![2, 3]));
}
