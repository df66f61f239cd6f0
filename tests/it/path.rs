use reqwest::Method;

use crate::bed::{TEAM, booking, chat, eventually, fleet, header, runs_of};

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_and_a_stream_go_through_two_instances() {
    let fleet = fleet(2).await;
    let booked = booking(&fleet, 0, "order-1").send().await.unwrap();
    assert_eq!(booked.status(), 200, "{}", fleet.instances[0].log());
    assert_eq!(header(&booked, "x-sesamelock-outcome"), "ran");
    assert!(booked.text().await.unwrap().contains("/bookings"));
    assert_eq!(runs_of(&fleet, "order-1"), 1);

    let streamed = chat(&fleet, 1, 40).send().await.unwrap();
    assert_eq!(header(&streamed, "content-type"), "text/event-stream");
    let text = streamed.text().await.unwrap();
    assert!(text.contains("[DONE]"), "{text}");
    assert!(!text.contains("event: error"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn path_method_body_and_status_pass_and_private_headers_do_not() {
    let fleet = fleet(1).await;
    let answer = fleet
        .call(0, TEAM, Method::GET, "/bookings/7?day=tuesday")
        .header("X-Request-Tag", "seen")
        .header("X-Sesamelock-Attempt", "1")
        .header("X-Sesamelock-Outcome", "not-run")
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status(), 200);
    assert!(!answer.headers().contains_key("x-sesamelock-attempt"));
    let runs = fleet.backends.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].method, "GET");
    assert!(runs[0].path.starts_with("/bookings/7"), "{}", runs[0].path);
    assert_eq!(runs[0].tag.as_deref(), Some("seen"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_key_runs_once_whichever_instance_gets_it() {
    let fleet = fleet(2).await;
    let first = booking(&fleet, 0, "order-2").send().await.unwrap();
    assert_eq!(first.status(), 200);
    for at in [0, 1] {
        let again = booking(&fleet, at, "order-2").send().await.unwrap();
        assert_eq!(again.status(), 409);
    }
    assert_eq!(runs_of(&fleet, "order-2"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_template_is_in_force_on_every_instance_within_seconds() {
    let mut fleet = fleet(3).await;
    let text = fleet.site.text().replace("/v1/route-sheets", "/v2/sheets");
    let start = std::time::Instant::now();
    fleet.accept(&text).await.unwrap();
    for at in 0..3 {
        eventually("the new route", async || {
            let call = fleet.call(at, TEAM, Method::POST, "/v2/sheets");
            let call = call.body("{\"stream\":false,\"max_tokens\":1}");
            call.send().await.unwrap().status() == 200
        })
        .await;
    }
    assert!(start.elapsed().as_secs() < 4, "{:?}", start.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn status_names_every_instance_and_server() {
    let fleet = fleet(3).await;
    eventually("a whole status", async || {
        let call = fleet.operate(0, Method::GET, "/status").send().await.unwrap();
        let text = call.text().await.unwrap();
        let names = fleet.instances.iter().map(|it| &it.name);
        names.into_iter().all(|it| text.contains(it.as_str())) && text.contains("booking-4")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_tell_outcomes_and_traffic() {
    let fleet = fleet(1).await;
    booking(&fleet, 0, "order-3").send().await.unwrap();
    eventually("the count of the answer", async || {
        let text = fleet.metrics(0).await.unwrap();
        text.contains("sesamelock_answers_total{outcome=\"ran\",code=\"2xx\"} 1")
    })
    .await;
    let text = fleet.metrics(0).await.unwrap();
    assert!(text.contains("sesamelock_platform_calls_total{kind=\"list\"}"), "{text}");
    assert!(text.contains("sesamelock_peer_bytes_total{way=\"sent\"}"), "{text}");
    assert!(text.contains("sesamelock_slots{pool=\"booking\",state=\"listed\"} 32"), "{text}");
    assert!(text.ends_with("# EOF\n"));
}
