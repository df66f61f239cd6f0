use proptest::prelude::*;
use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use sl_back::filter::{HOP_BY_HOP, clean_answer, clean_request};

use crate::seeds::seeds;

fn headers(pairs: &[(String, String)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let name = HeaderName::from_bytes(name.as_bytes()).unwrap();
        headers.append(name, HeaderValue::from_str(value).unwrap());
    }
    headers
}

#[test]
fn a_request_is_framed_anew() {
    let pairs = ["Host", "Content-Length", "Expect", "Content-Type", "Authorization"];
    let pairs = pairs.map(|it| (it.to_owned(), "x".to_owned()));
    let mut request = headers(&pairs);
    clean_request(&mut request);
    let mut left: Vec<&str> = request.keys().map(HeaderName::as_str).collect();
    left.sort_unstable();
    assert_eq!(left, ["authorization", "content-type"]);
    let mut answer = headers(&pairs);
    clean_answer(&mut answer);
    assert!(answer.contains_key("content-length"));
}

fn name() -> impl Strategy<Value = String> {
    prop_oneof![
        prop::sample::select(HOP_BY_HOP.to_vec()).prop_map(str::to_owned),
        "[xX]-[sS]esame[lL]ock-[a-z]{1,8}",
        "[a-zA-Z][a-z-]{0,8}",
    ]
}

proptest! {
    #![proptest_config(seeds())]

    #[test]
    fn only_end_to_end_headers_pass(
        pairs in prop::collection::vec((name(), "[a-z]{0,6}"), 0..20),
        named in prop::collection::vec(any::<prop::sample::Index>(), 0..4),
    ) {
        let named: Vec<String> = match pairs.is_empty() {
            true => Vec::new(),
            false => named.iter().map(|it| it.get(&pairs).0.to_uppercase()).collect(),
        };
        let mut all = pairs.clone();
        all.push(("Connection".to_owned(), named.join(" ,")));
        all.push(("connection".to_owned(), "close".to_owned()));
        let mut left = headers(&all);
        clean_answer(&mut left);
        let dropped = |name: &str| {
            let name = name.to_ascii_lowercase();
            HOP_BY_HOP.contains(&name.as_str())
                || name.starts_with("x-sesamelock-")
                || named.iter().any(|it| it.eq_ignore_ascii_case(&name))
                || pairs.iter().any(|(it, value)| it == "connection" && *value == name)
                || name == "close"
        };
        let kept: Vec<_> = pairs.iter().filter(|(name, _)| !dropped(name)).cloned().collect();
        prop_assert_eq!(left, headers(&kept));
    }
}
