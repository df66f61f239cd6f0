use rstest::rstest;
use sl_back::{Target, TargetError};

#[rstest]
#[case("/")]
#[case("/v1/chat/completions?a=b&c=/../d")]
#[case("/a//b/.well-known/...")]
#[case("/a%20b/%C3%A9?x=%23")]
fn passes(#[case] target: &str) {
    assert_eq!(target.parse::<Target>().unwrap().as_str(), target);
}

#[rstest]
#[case("", TargetError::NoSlash)]
#[case("*", TargetError::NoSlash)]
#[case("@elsewhere/", TargetError::NoSlash)]
#[case("http://elsewhere/", TargetError::NoSlash)]
#[case("/a\\..\\b", TargetError::Character)]
#[case("/a#b", TargetError::Character)]
#[case("/a\tb", TargetError::Character)]
#[case("/a b", TargetError::Character)]
#[case("/a/../b", TargetError::Dots)]
#[case("/a/%2E%2e/b", TargetError::Dots)]
#[case("/a/.%2e", TargetError::Dots)]
#[case("/./a", TargetError::Dots)]
fn is_refused(#[case] target: &str, #[case] why: TargetError) {
    assert_eq!(target.parse::<Target>(), Err(why));
}

// What passes goes out as it came in, as far as the library's own view of it goes.
#[rstest]
#[case("/a//b/.well-known/...?x=/../y")]
#[case("/a%20b/%2F%2f;v=1,2:3@4!$&'()*+=~")]
#[case("//elsewhere/a")]
fn the_library_leaves_it_alone(#[case] target: &str) {
    let url = format!("http://127.0.0.1:1{}", target.parse::<Target>().unwrap());
    let url = reqwest::Url::parse(&url).unwrap();
    assert_eq!(url.host_str(), Some("127.0.0.1"));
    let query = url.query().map(|it| format!("?{it}")).unwrap_or_default();
    assert_eq!(format!("{}{query}", url.path()), target);
}
