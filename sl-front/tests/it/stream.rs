use reqwest::{Client, Response};
use rstest::rstest;
use sl_base::Code;
use sl_front::Part;

use crate::fake::{Bed, TOKEN, eventually, failed, head, piece};

async fn call(bed: Bed, parts: Vec<Part>) -> Response {
    let url = bed.url("/any");
    let _answering = bed.answer_next(parts);
    let answer = Client::new().get(url).bearer_auth(TOKEN).send().await;
    answer.unwrap()
}

fn long() -> String {
    "x".repeat(200)
}

#[rstest]
#[case::small_with_length(Some(4), "text/plain", "whole")]
#[case::small_without_length(None, "text/plain", "whole")]
#[case::event_stream(None, "text/event-stream", "data: 1\n\n")]
#[case::lines(None, "application/x-ndjson", "{}\n")]
#[tokio::test]
async fn a_whole_answer_arrives_whole(
    #[case] length: Option<u64>,
    #[case] content_type: &str,
    #[case] text: &str,
) {
    let length = length.map(|_| text.len() as u64);
    let parts = vec![head(201, content_type, length), piece(text), Part::End];
    let answer = call(Bed::start().await, parts).await;
    assert_eq!(answer.status(), 201);
    assert_eq!(answer.headers()["content-type"], content_type);
    assert_eq!(answer.text().await.unwrap(), text);
}

#[rstest]
#[case::with_length(Some(400))]
#[case::without_length(None)]
#[tokio::test]
async fn a_long_answer_arrives_whole(#[case] length: Option<u64>) {
    let text = long();
    let parts = vec![head(200, "text/plain", length), piece(&text), piece(&text), Part::End];
    let answer = call(Bed::start().await, parts).await;
    assert_eq!(answer.text().await.unwrap(), text.repeat(2));
}

#[tokio::test]
async fn a_cut_event_stream_ends_with_an_error_event() {
    let parts = vec![
        head(200, "text/event-stream", None),
        piece("data: 1\n\ndata: ha"),
        failed(Code::IdleTimeout),
    ];
    let answer = call(Bed::start().await, parts).await;
    let text = answer.text().await.unwrap();
    assert!(text.starts_with("data: 1\n\ndata: ha\n\nevent: error\ndata: {\"code\":3004"));
    assert!(text.contains("\"outcome\":\"unknown\""), "{text}");
}

#[rstest]
#[case::lines("application/x-ndjson", None, "{}\n")]
#[case::long_without_length("text/plain", None, &long())]
#[case::long_with_length("text/plain", Some(400), &long())]
#[tokio::test]
async fn any_other_cut_answer_breaks_its_connection(
    #[case] content_type: &str,
    #[case] length: Option<u64>,
    #[case] text: &str,
) {
    let parts = vec![head(200, content_type, length), piece(text), failed(Code::ConnectionLost)];
    let bed = Bed::start().await;
    let url = bed.url("/any");
    let _answering = bed.answer_next(parts);
    // Whether the head is out before the cut is a matter of timing.
    let body = match Client::new().get(url).bearer_auth(TOKEN).send().await {
        Ok(answer) => answer.text().await,
        Err(e) => Err(e),
    };
    assert!(body.is_err(), "looks whole: {body:?}");
}

#[rstest]
#[case(Some(20))]
#[case(None)]
#[tokio::test]
async fn a_small_answer_that_is_cut_becomes_a_code(#[case] length: Option<u64>) {
    let parts = vec![
        head(200, "application/json", length),
        piece("{\"half\":"),
        failed(Code::ConnectionLost),
    ];
    let answer = call(Bed::start().await, parts).await;
    assert_eq!(answer.status(), 502);
    assert_eq!(answer.headers()["x-sesamelock-outcome"], "unknown");
    assert!(!answer.text().await.unwrap().contains("half"));
}

#[tokio::test]
async fn a_daemon_that_forgets_a_request_does_not_make_it_look_whole() {
    let mut bed = Bed::start().await;
    let call = tokio::spawn(Client::new().get(bed.url("/any")).bearer_auth(TOKEN).send());
    let job = bed.jobs.recv().await.unwrap();
    let head = head(200, "application/x-ndjson", None);
    job.answer.send(head).await.unwrap();
    job.answer.send(piece("{}\n")).await.unwrap();
    let answer = call.await.unwrap().unwrap();
    drop(job);
    assert!(answer.text().await.is_err());
}

#[tokio::test]
async fn a_caller_that_leaves_midway_is_noticed() {
    let mut bed = Bed::start().await;
    let call = tokio::spawn(Client::new().get(bed.url("/any")).bearer_auth(TOKEN).send());
    let job = bed.jobs.recv().await.unwrap();
    let head = head(200, "text/event-stream", None);
    job.answer.send(head).await.unwrap();
    job.answer.send(piece("data: 1\n\n")).await.unwrap();
    drop(call.await.unwrap().unwrap());
    let gone = bed.fake.gone.clone();
    eventually("the caller's leaving", || gone.lock().unwrap().contains(&job.arrival.request))
        .await;
}
