use rstest::rstest;
use sl_base::call::{Call, Reply, Version};
use sl_platform::{Client, Kind, ListError, Options};
use stand_ins::{Chance, platform::Fault};
use tokio::time::Instant;

use crate::support::{call, create, delete, get, platform, put, value, within};

#[tokio::test]
async fn a_write_whose_answer_is_lost_took_effect() {
    let (platform, client) = platform().await;
    platform.fault(Fault { lose_answer: Chance::next(1), ..Fault::default() }).await;
    assert_eq!(call(&client, put("k", Version::ABSENT, "mine")).await, Reply::Lost);
    let read = call(&client, get("k")).await;
    assert!(matches!(read, Reply::Value { .. }), "{read:?}");
    assert_eq!(platform.counters().put, 1, "it was not sent again");
    assert_eq!(client.counted(Kind::Put).lost, 1);
}

#[tokio::test]
async fn a_write_that_is_lost_before_it_took_effect_looks_the_same() {
    let (platform, client) = platform().await;
    platform.fault(Fault { lose_call: Chance::next(1), ..Fault::default() }).await;
    assert_eq!(call(&client, put("k", Version::ABSENT, "mine")).await, Reply::Lost);
    assert_eq!(call(&client, get("k")).await, Reply::Absent);
    assert_eq!(platform.counters().put, 1, "it was not sent again");
}

#[tokio::test]
async fn a_removal_whose_answer_is_lost_took_effect() {
    let (platform, client) = platform().await;
    let version = create(&client, "k", "v").await;
    platform.fault(Fault { lose_answer: Chance::next(1), ..Fault::default() }).await;
    assert_eq!(call(&client, delete("k", version)).await, Reply::Lost);
    assert_eq!(call(&client, get("k")).await, Reply::Absent);
}

#[tokio::test]
async fn answers_lost_by_chance_follow_the_seed() {
    let mut outcomes = Vec::new();
    for _ in 0..2 {
        let (platform, client) = platform().await;
        platform.fault(Fault { lose_answer: Chance::probability(0.5), ..Fault::default() }).await;
        let mut lost = Vec::new();
        for at in 0..20 {
            let reply = call(&client, put(&format!("k{at}"), Version::ABSENT, "v")).await;
            lost.push(reply == Reply::Lost);
        }
        assert!(lost.contains(&true) && lost.contains(&false));
        outcomes.push(lost);
    }
    assert_eq!(outcomes[0], outcomes[1]);
}

// Several kept connections fall silent at once, and only one call is lost by it.
#[tokio::test]
async fn silent_connections_are_given_up_together() {
    let (platform, client) = platform().await;
    let version = create(&client, "k", "v").await;
    let read = get("k");
    let reads = (0..4).map(|_| client.call(&read, within(5_000)));
    futures::future::join_all(reads).await;
    platform.fault(Fault { silent_old: true, ..Fault::default() }).await;
    let begun = Instant::now();
    assert_eq!(client.call(&get("k"), within(300)).await, Reply::Lost);
    assert!(begun.elapsed().as_millis() >= 300);
    assert_eq!(client.call(&get("k"), within(2_000)).await, value(version, "v"));
}

#[rstest]
#[case::refusing(Fault { down: true, ..Fault::default() }, Reply::Refused)]
#[case::unavailable(Fault { unavailable: true, ..Fault::default() }, Reply::Lost)]
#[case::silent(Fault { silent: true, ..Fault::default() }, Reply::Lost)]
#[case::slow(Fault { slow_ms: 2_000, ..Fault::default() }, Reply::Lost)]
#[tokio::test]
async fn a_failing_platform_and_its_recovery(#[case] fault: Fault, #[case] expected: Reply) {
    let (platform, client) = platform().await;
    let version = create(&client, "k", "v").await;
    platform.fault(fault).await;
    let write = put("k", version, "w");
    let first = client.call(&write, within(300)).await;
    // The connection that was kept may be found closed only by the write itself.
    assert!(first == expected || first == Reply::Lost, "{first:?}");
    assert_eq!(client.call(&write, within(300)).await, expected);
    assert!(client.list(0, within(300)).await.is_err());
    platform.fault(Fault::default()).await;
    let read = client.call(&get("k"), within(5_000)).await;
    assert!(matches!(read, Reply::Value { .. }), "{read:?}");
}

#[tokio::test]
async fn a_slow_platform_still_answers() {
    let (platform, client) = platform().await;
    platform.fault(Fault { slow_ms: 200, ..Fault::default() }).await;
    let begun = Instant::now();
    create(&client, "k", "v").await;
    assert!(begun.elapsed().as_millis() >= 200);
}

#[tokio::test]
async fn nothing_listens() {
    let client = Client::new(Options::new("http://127.0.0.1:1/")).unwrap();
    let write = Call::Put { key: "k".into(), expect: Version::ABSENT, value: "v".into() };
    assert_eq!(client.call(&write, within(1_000)).await, Reply::Refused);
    let list = client.list(0, within(1_000)).await;
    assert!(matches!(list, Err(ListError::Connection(_))), "{list:?}");
}
