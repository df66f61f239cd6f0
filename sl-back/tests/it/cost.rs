use proptest::prelude::*;
use rstest::rstest;
use sl_back::Meter;
use sl_config::Cost;

use crate::seeds::seeds;

fn units(chunks: &[&[u8]]) -> u64 {
    let mut meter = Meter::new(Cost::Tokens);
    chunks.iter().for_each(|it| meter.feed(it));
    meter.units()
}

#[rstest]
#[case::nothing("", 0)]
#[case::events("data: a\n\ndata: b\n\n", 2)]
#[case::crlf("data: a\r\n\r\ndata: b\r\n\r\n", 2)]
#[case::cr("data: a\r\rdata: b\r\r", 2)]
#[case::many_lines_one_event("data: a\ndata: b\n\n", 1)]
#[case::comment(": hello\n\ndata: a\n\n", 1)]
#[case::no_space("data:a\n\n", 1)]
#[case::done("data: a\n\ndata: [DONE]\n\n", 1)]
#[case::unfinished("data: a\n\ndata: b", 1)]
#[case::usage("data: a\n\ndata: {\"usage\":{\"prompt_tokens\":17,\"completion_tokens\":5}}\n\n", 8)]
#[case::null_usage("data: {\"usage\":null}\n\n", 1)]
#[case::json("{\"usage\":{\"prompt_tokens\":16,\"completion_tokens\":5}}", 7)]
#[case::quoted("data: {\"t\":\"\\\"usage\\\":{}\"}\n\n", 1)]
#[case::json_on_lines(
    "{\n \"choices\": [],\n \"usage\": {\n  \"prompt_tokens\": 16,\n  \"completion_tokens\": 5\n }\n}\n",
    7
)]
fn counts(#[case] text: &str, #[case] expected: u64) {
    assert_eq!(units(&[text.as_bytes()]), expected);
}

#[test]
fn a_line_without_end_takes_bounded_memory_and_counts_once() {
    let mut meter = Meter::new(Cost::Tokens);
    meter.feed(b"data: ");
    for _ in 0..1_000 {
        meter.feed(&[b'x'; 4_096]);
    }
    meter.feed(b"\n\ndata: a\n\n");
    assert_eq!(meter.units(), 2);
}

#[test]
fn a_long_json_answer_is_read_at_its_end() {
    let mut meter = Meter::new(Cost::Tokens);
    meter.feed(b"{\"content\":\"");
    for _ in 0..1_000 {
        meter.feed(&[b'x'; 4_096]);
    }
    meter.feed(b"\",\"usage\":{\"completion_tokens\":9}}");
    assert_eq!(meter.units(), 9);
}

proptest! {
    #![proptest_config(seeds())]

    #[test]
    fn where_chunks_end_does_not_matter(
        lines in prop::collection::vec("(data: ?|: |event: )?[a-z\"{}:\r]{0,12}\n{1,2}", 0..30),
        tokens in prop::option::of(0..100_u64),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..20),
    ) {
        let mut text = lines.concat();
        if let Some(tokens) = tokens {
            text += &format!("\n\ndata: {{\"usage\":{{\"completion_tokens\":{tokens}}}}}\n\n");
        }
        let text = text.as_bytes();
        let mut cuts: Vec<usize> = cuts.iter().map(|it| it.index(text.len() + 1)).collect();
        cuts.sort_unstable();
        let mut chunks = Vec::new();
        let mut start = 0;
        for cut in cuts {
            chunks.push(&text[start..cut]);
            start = cut;
        }
        chunks.push(&text[start..]);
        let whole = units(&[text]);
        prop_assert_eq!(units(&chunks), whole);
        if let Some(tokens) = tokens {
            prop_assert_eq!(whole, tokens);
        }
    }
}
