use reqwest::{Method, RequestBuilder};
use rstest::rstest;
use sl_base::Code;

use crate::bed::{TEAM, booking, fleet, header};

type Call = fn(&bench::Fleet) -> RequestBuilder;

fn body_over_the_limit(fleet: &bench::Fleet) -> RequestBuilder {
    booking(fleet, 0, "large").body("x".repeat(8 * 1024 * 1024))
}

fn unknown_credential(fleet: &bench::Fleet) -> RequestBuilder {
    let url = format!("http://{}/bookings", fleet.instances[0].caller);
    let call = reqwest::Client::new().post(url).bearer_auth("nobody");
    call.header("Idempotency-Key", "stranger").body("{}")
}

fn two_credentials(fleet: &bench::Fleet) -> RequestBuilder {
    booking(fleet, 0, "both").bearer_auth("nobody")
}

fn unknown_route(fleet: &bench::Fleet) -> RequestBuilder {
    fleet.call(0, TEAM, Method::POST, "/brews")
}

fn no_key(fleet: &bench::Fleet) -> RequestBuilder {
    fleet.call(0, TEAM, Method::POST, "/bookings").body("{}")
}

fn wrong_method(fleet: &bench::Fleet) -> RequestBuilder {
    fleet.call(0, TEAM, Method::DELETE, "/bookings")
}

#[rstest]
#[case(body_over_the_limit, Code::BodyTooLarge)]
#[case(unknown_credential, Code::UnknownCredential)]
#[case(two_credentials, Code::UnknownCredential)]
#[case(unknown_route, Code::UnknownRoute)]
#[case(no_key, Code::KeyRequired)]
#[case(wrong_method, Code::MethodNotAllowed)]
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_request_reaches_no_backend_server(#[case] call: Call, #[case] code: Code) {
    let fleet = fleet(1).await;
    let answer = call(&fleet).send().await.unwrap();
    assert_eq!(answer.status(), code.status());
    let number = code.number().to_string();
    assert_eq!(header(&answer, "x-sesamelock-code"), number);
    assert_eq!(header(&answer, "x-sesamelock-outcome"), "not-run");
    assert!(answer.text().await.unwrap().contains(&number));
    assert!(fleet.backends.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_configuration_nothing_is_served() {
    let mut fleet = bench::Fleet::prepare(crate::bed::options(1)).await.unwrap();
    fleet.instances[0].start().unwrap();
    crate::bed::eventually("the door", async || booking(&fleet, 0, "early").send().await.is_ok())
        .await;
    let answer = booking(&fleet, 0, "early").send().await.unwrap();
    let number = Code::NoConfiguration.number().to_string();
    assert_eq!(header(&answer, "x-sesamelock-code"), number);
    assert!(!fleet.is_ready(&fleet.instances[0]).await);
    assert!(fleet.backends.runs().is_empty());
}
