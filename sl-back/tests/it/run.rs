use std::time::Duration;

use rstest::rstest;
use sl_back::{Forward, HeaderMap, Method};
use sl_base::Millis;
use sl_step::event::AttemptEnd;
use stand_ins::{Chance, backends::Fault};

use crate::support::{Sink, booking, chat, client, dispatch, engine, go, now, plain, until};

#[tokio::test]
async fn a_stream_comes_whole_and_its_usage_is_counted() {
    let backends = engine(400).await;
    let mut sink = Sink::default();
    let dispatch = dispatch(backends.listed()[0].address);
    let end = go(&client(), &dispatch, chat(200), &mut sink).await;
    // 200 output tokens, and 80 input tokens at 8 to one.
    let units = 210;
    assert_eq!(end, AttemptEnd::Complete { status: 200, units });
    let text = String::from_utf8(sink.body).unwrap();
    assert_eq!(text.matches("data: ").count(), 202);
    assert!(text.ends_with("data: [DONE]\n\n"));
    assert!(sink.progress.is_sorted());
    assert!((1..=3).contains(&sink.progress.len()), "{:?}", sink.progress);
    let headers = sink.head.unwrap().headers;
    assert!(headers.keys().all(|it| !sl_back::filter::is_private(it.as_str())));
}

#[tokio::test]
async fn a_plain_answer_keeps_its_length() {
    let backends = plain(5).await;
    let mut sink = Sink::default();
    let dispatch = dispatch(backends.listed()[0].address);
    let end = go(&client(), &dispatch, booking("{}"), &mut sink).await;
    assert!(matches!(end, AttemptEnd::Complete { status: 200, units } if units >= 5));
    assert_eq!(sink.head.unwrap().length, Some(sink.body.len() as u64));
    assert_eq!(backends.runs()[0].attempt.as_deref(), Some("7"));
}

#[rstest]
#[case::refused(Fault { refuse: true, ..Fault::default() }, AttemptEnd::NotSent, 0)]
#[case::dropped(Fault { drop_call: Chance::next(1), ..Fault::default() }, AttemptEnd::LostBeforeAnswer, 0)]
#[case::lost(Fault { lose_answer: Chance::next(1), ..Fault::default() }, AttemptEnd::LostBeforeAnswer, 1)]
#[case::crossed(Fault { cross: Chance::ALWAYS, ..Fault::default() }, AttemptEnd::Crossed, 1)]
#[case::hung(Fault { hang: Chance::ALWAYS, ..Fault::default() }, AttemptEnd::FirstByteTimeout, 1)]
#[case::silent(Fault { silent: true, ..Fault::default() }, AttemptEnd::FirstByteTimeout, 0)]
#[tokio::test]
async fn before_the_answer(
    #[case] fault: Fault,
    #[case] expected: AttemptEnd,
    #[case] runs: usize,
) {
    let backends = plain(0).await;
    backends.fault(fault).await;
    let mut sink = Sink::default();
    let mut dispatch = dispatch(backends.listed()[0].address);
    dispatch.first_byte_by = now().after(Millis(400));
    let end = go(&client(), &dispatch, booking("{}"), &mut sink).await;
    assert_eq!(end, expected);
    assert_eq!(backends.runs().len(), runs);
    assert!(sink.head.is_none(), "nothing was passed on");
}

// Without a body there is no gate, and only a failed connection proves it.
#[tokio::test]
async fn a_refused_request_without_a_body_was_not_sent() {
    let backends = plain(0).await;
    backends.fault(Fault { refuse: true, ..Fault::default() }).await;
    let mut forward = booking("");
    forward.method = Method::DELETE;
    let dispatch = dispatch(backends.listed()[0].address);
    let end = go(&client(), &dispatch, forward, &mut Sink::default()).await;
    assert_eq!(end, AttemptEnd::NotSent);
}

#[rstest]
#[case::cut(Fault { cut: Chance::ALWAYS, ..Fault::default() })]
#[case::stalled(Fault { stall: Chance::ALWAYS, ..Fault::default() })]
#[tokio::test]
async fn midway(#[case] fault: Fault, #[values(true, false)] streamed: bool) {
    let backends = if streamed { engine(2_000).await } else { plain(0).await };
    backends.fault(fault).await;
    let mut sink = Sink::default();
    let mut dispatch = dispatch(backends.listed()[0].address);
    dispatch.idle_within = Millis(300);
    let forward = if streamed { chat(400) } else { booking("{}") };
    let end = go(&client(), &dispatch, forward, &mut sink).await;
    if fault.cut == Chance::ALWAYS {
        assert!(matches!(end, AttemptEnd::LostMidway { .. }), "{end:?}");
    } else {
        assert!(matches!(end, AttemptEnd::IdleTimeout { .. }), "{end:?}");
    }
    assert!(!sink.body.is_empty(), "the first half was passed on");
}

#[tokio::test]
async fn the_last_deadline_ends_a_stream_that_goes_on() {
    let backends = engine(100).await;
    let mut dispatch = dispatch(backends.listed()[0].address);
    dispatch.total_by = now().after(Millis(300));
    let end = go(&client(), &dispatch, chat(10_000), &mut Sink::default()).await;
    assert!(matches!(end, AttemptEnd::TotalTimeout { units: 1.. }), "{end:?}");
}

#[tokio::test]
async fn an_end_that_is_asked_for_frees_the_slot() {
    let backends = engine(100).await;
    let dispatch = dispatch(backends.listed()[0].address);
    let abort = tokio::time::sleep(Duration::from_millis(200));
    let mut sink = Sink::default();
    let end = client().run(&dispatch, chat(10_000), &mut sink, abort).await;
    assert!(matches!(end, AttemptEnd::Aborted { units: 1.. }), "{end:?}");
    until("the slot is free", || backends.servers()[0].running == 0).await;
}

#[tokio::test]
async fn a_caller_that_goes_away_ends_the_attempt() {
    let backends = engine(1_000).await;
    let mut sink = Sink { gone_after: Some(2), ..Sink::default() };
    let dispatch = dispatch(backends.listed()[0].address);
    let end = go(&client(), &dispatch, chat(10_000), &mut sink).await;
    assert!(matches!(end, AttemptEnd::Aborted { units: 1.. }), "{end:?}");
    until("the slot is free", || backends.servers()[0].running == 0).await;
}

#[tokio::test]
async fn nothing_leaves_once_the_slot_is_over() {
    let backends = plain(0).await;
    let mut dispatch = dispatch(backends.listed()[0].address);
    dispatch.dispatch_by = now();
    let end = go(&client(), &dispatch, booking("{}"), &mut Sink::default()).await;
    assert_eq!(end, AttemptEnd::NotSent);
    assert!(backends.runs().is_empty());
}

#[tokio::test]
async fn any_method_path_and_query_pass() {
    let backends = plain(0).await;
    let client = client();
    for method in ["GET", "HEAD", "PUT", "DELETE", "OPTIONS", "PATCH"] {
        let forward = Forward {
            method: Method::from_bytes(method.as_bytes()).unwrap(),
            target: "/status/a%20b?c=d%2Fe".parse().unwrap(),
            headers: HeaderMap::new(),
            body: bytes::Bytes::new(),
            idempotent: true,
            cost: sl_config::Cost::BusyMillis,
        };
        let dispatch = dispatch(backends.listed()[0].address);
        let end = go(&client, &dispatch, forward, &mut Sink::default()).await;
        assert!(matches!(end, AttemptEnd::Complete { status: 200, .. }), "{method}");
        let last = backends.runs().pop().unwrap();
        assert_eq!((last.method.as_str(), last.path.as_str()), (method, "/status/a%20b"));
    }
}
