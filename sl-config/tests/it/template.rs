//! Templates: defaults, cross-checks, and every fault at once.

use proptest::prelude::*;
use rstest::rstest;
use sl_base::{Millis, PoolId, TeamId};
use sl_config::{Cost, Faults, KeyRule, Template, parse::limits};

const HASH: &str = "af1349b9f5f9a1a6a0404dea36dcc9499bcb25c9adc112b7cc9a93cae41f3262";

fn good() -> String {
    format!("[route a]\npath = /a/*\npool = p\n[team t]\ncredential = {HASH}\n")
}

fn faults(text: &str) -> Faults {
    Template::parse("t", text).expect_err("the text has faults")
}

fn says(text: &str) -> Vec<String> {
    let found = faults(text);
    found.faults().iter().map(ToString::to_string).collect()
}

#[test]
fn a_short_template_gets_the_documented_defaults() {
    let template = Template::parse("t", &good()).unwrap();
    let route = &template.routes[0];
    assert_eq!(route.methods, Vec::<String>::new());
    assert_eq!(route.policy.pool, PoolId::of("p"));
    assert!(!route.policy.idempotent);
    assert_eq!(route.policy.key, KeyRule::Required);
    assert_eq!(route.policy.cost, Cost::BusyMillis);
    assert_eq!(route.policy.order, limits::ORDER);
    assert_eq!(route.policy.queue_within, Millis(30_000));
    assert_eq!(route.body_max, 1 << 20);
    assert_eq!(route.objective, None);
    let team = &template.teams[0];
    assert_eq!((team.id, team.share, team.queue_max), (TeamId::of("t"), 1, 256));
}

#[test]
fn faults_of_all_sections_come_together() {
    let text = format!(
        "[route a]\npath = a\npool = p\nretries = 11\n[team t]\nshare = 0\n\
         credential = {HASH}, beef\n[tema u]\n"
    );
    let found = faults(&text);
    let lines: Vec<usize> = found.faults().iter().map(|it| found.line(it)).collect();
    assert_eq!(lines, [2, 4, 6, 7, 8]);
    assert_eq!(found.faults()[4].help.as_deref(), Some("did you mean `team`?"));
}

#[rstest]
#[case::key_of_idempotent(
    "idempotent = yes\nkey = optional",
    "an idempotent route asks for no idempotency key"
)]
#[case::total_below_first_byte(
    "total-within-ms = 10",
    "the first byte may take 10000 ms, longer than the 10 ms of the whole request"
)]
#[case::half_an_objective(
    "objective-answered-percent = 99.9",
    "[route a] needs `objective-first-byte-ms`"
)]
#[case::all_of_them(
    "objective-first-byte-ms = 1\nobjective-answered-percent = 100",
    "`100` is not a percentage above 0 and below 100, such as 99.9"
)]
#[case::lower_case_method(
    "methods = get",
    "`get` is not `any`, or methods in capitals, such as GET, POST"
)]
#[case::order("order = 256", "`256` is not between 0 and 255")]
#[case::flag("idempotent = true", "`true` is not `yes` or `no`")]
fn a_route_with_a_fault(#[case] entries: &str, #[case] wanted: &str) {
    let text = good().replace("pool = p", &format!("pool = p\n{entries}"));
    assert_eq!(says(&text), [wanted]);
}

#[rstest]
#[case::same_team(&format!("[team t]\ncredential = {}", HASH.replace('a', "b")), "`[team t]` stands here a second time")]
#[case::same_credential(&format!("[team u]\ncredential = {}", HASH.to_uppercase()), "this credential stands above already")]
#[case::hidden("[route b]\npath = /a/b\npool = p", "every call of it goes to [route a] above")]
#[case::no_name("[team]\n", "`` is not a name of up to 64 letters, digits, `-`, `_` and `.`")]
fn two_sections_that_clash(#[case] more: &str, #[case] wanted: &str) {
    let found = says(&format!("{}{more}\n", good()));
    assert!(found.iter().any(|it| it == wanted), "{found:?}");
}

#[test]
fn percentages_are_exact() {
    let entries = "objective-first-byte-ms = 5\nobjective-latency-percent = 99.95";
    let text = good().replace("pool = p", &format!("pool = p\n{entries}"));
    let objective = Template::parse("t", &text).unwrap().routes[0].objective;
    assert_eq!(objective.unwrap().latency_ppm, 999_500);
}

proptest! {
    #![proptest_config(crate::seeds::config())]

    /// Whatever comes, reading ends with a template or with faults that point into the text.
    #[test]
    fn any_text_is_read_or_refused(text in "(\\[(route|team|x) ?[a-c]{0,2}\\]?\n|[a-z-]{1,6} ?=? ?[/a-z0-9*é]{0,4}\r?\n|;.{0,3}\n){0,12}") {
        if let Err(found) = Template::parse("t", &text) {
            prop_assert!(!found.faults().is_empty());
            for fault in found.faults() {
                let end = fault.span.offset() + fault.span.len();
                prop_assert!(end <= text.len());
                prop_assert!(text.get(fault.span.offset()..end).is_some());
            }
        }
    }
}
