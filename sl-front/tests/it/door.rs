use std::time::Duration;

use reqwest::{Client, Method, StatusCode};
use rstest::rstest;
use sl_base::Code;
use sl_front::{Part, Refusal};
use tokio::{io::AsyncWriteExt, net::TcpStream};

use crate::fake::{Bed, TOKEN, eventually, failed, head, piece};

fn whole() -> Vec<Part> {
    vec![head(200, "text/plain", Some(2)), piece("ok"), Part::End]
}

#[rstest]
#[case::unknown_credential("/any", "POST", Some("nobody"), None, 10, Code::UnknownCredential)]
#[case::no_credential("/any", "POST", None, None, 10, Code::UnknownCredential)]
#[case::unknown_route("/none", "POST", Some(TOKEN), None, 10, Code::UnknownRoute)]
#[case::climbing("/any/%2e%2E/book", "POST", Some(TOKEN), None, 10, Code::UnknownRoute)]
#[case::wrong_method("/book", "GET", Some(TOKEN), None, 0, Code::MethodNotAllowed)]
#[case::strange_method("/any", "PROPFIND", Some(TOKEN), None, 0, Code::MethodNotAllowed)]
#[case::no_key("/book", "POST", Some(TOKEN), None, 10, Code::KeyRequired)]
#[case::empty_key("/book", "POST", Some(TOKEN), Some(""), 10, Code::KeyInvalid)]
#[case::spaced_key("/book", "POST", Some(TOKEN), Some("a b"), 10, Code::KeyInvalid)]
#[case::body_too_large("/any", "POST", Some(TOKEN), None, 1_001, Code::BodyTooLarge)]
#[tokio::test]
async fn a_refusal_has_its_code_and_nothing_passes(
    #[case] path: &str,
    #[case] method: &str,
    #[case] token: Option<&str>,
    #[case] key: Option<&str>,
    #[case] size: usize,
    #[case] code: Code,
) {
    let mut bed = Bed::start().await;
    // `reqwest` would fold the dots away, so the path is sent as it stands.
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n");
    if let Some(token) = token {
        text.push_str(&format!("Authorization: Bearer {token}\r\n"));
    }
    if let Some(key) = key {
        text.push_str(&format!("Idempotency-Key: {key}\r\n"));
    }
    text.push_str(&format!("Content-Length: {size}\r\n\r\n{}", "x".repeat(size)));
    let answer = bed.raw(&text).await.to_lowercase();
    assert!(answer.starts_with(&format!("http/1.1 {} ", code.status())), "{answer}");
    assert!(answer.contains(&format!("x-sesamelock-code: {}\r\n", code.number())), "{answer}");
    assert!(answer.contains("x-sesamelock-outcome: not-run\r\n"), "{answer}");
    assert!(answer.contains(&format!("\"code\":{}", code.number())), "{answer}");
    assert_eq!(*bed.fake.refused.lock().unwrap(), [code]);
    assert!(bed.jobs.try_recv().is_err());
}

#[tokio::test]
async fn a_chunked_body_over_the_limit_is_refused_and_not_cut() {
    let mut bed = Bed::start().await;
    let chunk = format!("3e8\r\n{}\r\n", "x".repeat(1_000));
    let text = format!(
        "POST /any HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer {TOKEN}\r\n\
         Transfer-Encoding: chunked\r\n\r\n{chunk}1\r\nx\r\n0\r\n\r\n"
    );
    let answer = bed.raw(&text).await;
    assert!(answer.contains(&Code::BodyTooLarge.number().to_string()), "{answer}");
    assert!(bed.jobs.try_recv().is_err());
}

#[tokio::test]
async fn a_caller_that_sends_far_too_much_still_gets_its_answer() {
    let bed = Bed::start().await;
    let body = vec![b'x'; 16 * 1024 * 1024];
    for _ in 0..8 {
        let call = Client::new().post(bed.url("/any")).bearer_auth(TOKEN);
        let answer = call.body(body.clone()).send().await.unwrap();
        assert_eq!(answer.status(), StatusCode::PAYLOAD_TOO_LARGE);
    }
}

#[rstest]
#[case::within_rockets_peek("3\r\nabc\r\n")]
#[case::after_rockets_peek("14\r\nabcdefghijklmnopqrst\r\n")]
#[tokio::test]
async fn a_chunked_body_that_breaks_off_does_not_pass(#[case] start: &str) {
    let mut bed = Bed::start().await;
    let mut stream = TcpStream::connect(bed.server.caller).await.unwrap();
    let text = format!(
        "POST /any HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n\
         Transfer-Encoding: chunked\r\n\r\n{start}"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    drop(stream);
    let refused = bed.fake.refused.clone();
    eventually("the refusal", || *refused.lock().unwrap() == [Code::BodyIncomplete]).await;
    assert!(bed.jobs.try_recv().is_err());
}

#[tokio::test]
async fn a_caller_that_sends_no_end_is_given_up() {
    let mut bed = Bed::start().await;
    let text = format!(
        "POST /any HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n\
         Content-Length: 100\r\n\r\nabcdefghijklmnopqrstuvwxyz"
    );
    let answer = bed.raw(&text).await;
    assert!(answer.contains(&Code::BodyIncomplete.number().to_string()), "{answer}");
    assert!(bed.jobs.try_recv().is_err());
}

#[tokio::test]
async fn headers_over_the_limit_are_refused() {
    let bed = Bed::start().await;
    let answer = Client::new()
        .get(bed.url("/any"))
        .bearer_auth(TOKEN)
        .header("X-Long", "x".repeat(2_048))
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status(), StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
}

#[rstest]
#[case("GET")]
#[case("HEAD")]
#[case("POST")]
#[case("PUT")]
#[case("DELETE")]
#[case("PATCH")]
#[case("OPTIONS")]
#[tokio::test]
async fn every_method_passes_with_path_headers_and_body(#[case] method: &str) {
    let bed = Bed::start().await;
    let url = bed.url("/any//a%20b/.hidden?q=1&r=%2F");
    let answering = bed.answer_next(whole());
    let method = Method::from_bytes(method.as_bytes()).unwrap();
    let answer = Client::new()
        .request(method.clone(), url)
        .bearer_auth(TOKEN)
        .header("X-Mine", "kept")
        .body("the body")
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["x-sesamelock-outcome"], "ran");
    assert_eq!(answer.headers()["content-length"], "2");
    assert!(!answer.headers().contains_key("x-frame-options"));
    let request = answering.await.unwrap();
    assert_eq!(request.method, method.as_str());
    assert_eq!(request.target.as_str(), "/any//a%20b/.hidden?q=1&r=%2F");
    assert_eq!(request.body, "the body");
    let names: Vec<String> = request.headers.iter().map(|it| it.0.to_lowercase()).collect();
    assert!(names.contains(&"x-mine".to_owned()));
    assert!(!names.contains(&"authorization".to_owned()));
}

#[tokio::test]
async fn a_form_does_not_change_its_method() {
    let bed = Bed::start().await;
    let url = bed.url("/book");
    let answering = bed.answer_next(whole());
    let answer = Client::new()
        .post(url)
        .bearer_auth(TOKEN)
        .header("Idempotency-Key", "k1")
        .header("Content-Type", "application/x-www-form-urlencoded")
        .body("_method=delete&crate=7")
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status(), 200);
    let request = answering.await.unwrap();
    assert_eq!(request.method, "POST");
    assert_eq!(request.body, "_method=delete&crate=7");
}

#[tokio::test]
async fn a_final_answer_of_ours_says_when_to_come_back() {
    let bed = Bed::start().await;
    let url = bed.url("/any");
    let _answering = bed.answer_next(vec![Part::Failed(Refusal {
        code: Code::QueueFull,
        retry_after: Some(sl_base::Millis(1_200)),
        ran_status: Some(201),
    })]);
    let answer = Client::new().get(url).bearer_auth(TOKEN).send().await;
    let answer = answer.unwrap();
    assert_eq!(answer.status(), 429);
    assert_eq!(answer.headers()["retry-after"], "2");
    let body = answer.text().await.unwrap();
    assert!(body.contains("\"retry_after_ms\":1200"), "{body}");
    assert!(body.contains("\"ran_status\":201"), "{body}");
}

#[tokio::test]
async fn the_instance_holds_no_more_than_it_may() {
    let bed = Bed::start().await;
    let client = Client::new();
    let held: Vec<_> = (0..4)
        .map(|_| tokio::spawn(client.get(bed.url("/any")).bearer_auth(TOKEN).send()))
        .collect();
    let gate = bed.server.gate().clone();
    eventually("four requests inside", || gate.requests() == 4).await;
    let answer = client.get(bed.url("/any")).bearer_auth(TOKEN).send().await;
    let code = Code::Overloaded.number().to_string();
    assert_eq!(answer.unwrap().headers()["x-sesamelock-code"], code.as_str());
    for it in held {
        it.abort();
    }
}

#[tokio::test]
async fn a_caller_that_leaves_while_it_waits_is_noticed() {
    let mut bed = Bed::start().await;
    let call = Client::new().get(bed.url("/any")).bearer_auth(TOKEN).send();
    let call = tokio::time::timeout(Duration::from_millis(300), call);
    assert!(call.await.is_err());
    let job = bed.jobs.recv().await.unwrap();
    let gone = bed.fake.gone.clone();
    eventually("the caller's leaving", || gone.lock().unwrap().contains(&job.arrival.request))
        .await;
    let _ = job.answer.send(failed(Code::CallerGone)).await;
    let gate = bed.server.gate().clone();
    eventually("room at the gate", || gate.requests() == 0).await;
}
