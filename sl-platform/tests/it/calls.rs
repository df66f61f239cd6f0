use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;
use sl_base::call::{Call, Reply, Version};
use sl_platform::{Kind, client::VALUE_MAX};
use stand_ins::platform::Options;

use crate::support::{
    call, create, delete, get, platform, platform_with, put, value, watch, within,
};

#[tokio::test]
async fn compare_and_swap() {
    let (_platform, client) = platform().await;
    assert_eq!(call(&client, get("a/b")).await, Reply::Absent);
    let first = create(&client, "a/b", "one").await;
    assert_eq!(call(&client, get("a/b")).await, value(first, "one"));
    let conflict = Reply::Conflict { version: first };
    assert_eq!(call(&client, put("a/b", Version::ABSENT, "two")).await, conflict);
    assert_eq!(call(&client, put("a/b", Version(99), "two")).await, conflict);
    let Reply::Done { version: second } = call(&client, put("a/b", first, "two")).await else {
        panic!("the write was based on what stood");
    };
    assert!(second > first);
    assert_eq!(call(&client, get("a/b")).await, value(second, "two"));
}

#[tokio::test]
async fn a_key_made_anew_has_a_new_version() {
    let (_platform, client) = platform().await;
    let first = create(&client, "k", "one").await;
    assert!(matches!(call(&client, delete("k", first)).await, Reply::Done { .. }));
    assert_eq!(call(&client, get("k")).await, Reply::Absent);
    let absent = Reply::Conflict { version: Version::ABSENT };
    assert_eq!(call(&client, put("k", first, "late")).await, absent);
    assert!(create(&client, "k", "two").await > first);
}

#[tokio::test]
async fn a_watch_sees_the_change_and_else_ends_unchanged() {
    let (platform, client) = platform().await;
    let first = create(&client, "k", "one").await;
    assert_eq!(call(&client, watch("k", Version::ABSENT)).await, value(first, "one"));
    let waiting = watch("k", first);
    let unchanged = client.call(&waiting, within(400)).await;
    assert_eq!(unchanged, Reply::Unchanged);
    let write = async {
        while platform.counters().watch < 3 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        call(&client, put("k", first, "two")).await
    };
    let (seen, written) = tokio::join!(client.call(&waiting, within(5_000)), write);
    let Reply::Done { version } = written else {
        panic!("{written:?}");
    };
    assert_eq!(seen, value(version, "two"));
    assert_eq!(platform.counters().watch, 3, "a waiting watch counts once");
}

#[rstest]
#[case::at_the_limit(VALUE_MAX, true)]
#[case::over_it(VALUE_MAX + 1, false)]
#[tokio::test]
async fn a_megabyte_is_the_limit(#[case] size: usize, #[case] fits: bool) {
    let (_platform, client) = platform().await;
    let write = Call::Put {
        key: "big".into(),
        expect: Version::ABSENT,
        value: Bytes::from(vec![b'x'; size]),
    };
    let reply = call(&client, write).await;
    assert_eq!(matches!(reply, Reply::Done { .. }), fits, "{reply:?}");
    assert_eq!(reply == Reply::Refused, !fits, "{reply:?}");
    let read = call(&client, get("big")).await;
    assert_eq!(matches!(read, Reply::Value { .. }), fits);
}

#[tokio::test]
async fn calls_past_the_rate_are_refused_and_counted() {
    let (platform, client) =
        platform_with(Options { writes_per_second: 5, ..Options::default() }).await;
    let mut refused = 0;
    for at in 0..20 {
        let reply = call(&client, put(&format!("k{at}"), Version::ABSENT, "v")).await;
        refused += u64::from(reply == Reply::Refused);
    }
    assert!((10..=15).contains(&refused), "{refused}");
    assert_eq!(platform.counters().refused, refused);
    assert_eq!(platform.counters().keys, 20 - refused);
    let counted = client.counted(Kind::Put);
    assert_eq!((counted.calls, counted.refused, counted.lost), (20, refused, 0));
    assert_eq!(counted.bytes_sent, 20);
}

#[rstest]
#[tokio::test]
async fn a_key_that_a_url_would_change_is_not_sent(
    #[values("", "/a", "a/", "a//b", "../list", "a/./b", "a?b", "a#b", "a%2Fb", "a b")] key: &str,
) {
    let (platform, client) = platform().await;
    assert_eq!(call(&client, get(key)).await, Reply::Refused);
    assert_eq!(platform.counters().get, 0);
}
