//! Answers of our own: a numbered code in headers and in a JSON body, so that both
//! programs and people can tell what happened (docs/result-codes.md).

use std::io::Cursor;

use rocket::{
    Response,
    http::{ContentType, Status},
};
use serde::Serialize;
use sl_base::{Code, Millis, Outcome};

/// The names of the headers that this system adds or reads.
pub mod headers {
    /// The result code's number.
    pub const CODE: &str = "X-Sesamelock-Code";
    /// What is known of the request: `ran`, `not-run` or `unknown`.
    pub const OUTCOME: &str = "X-Sesamelock-Outcome";
    /// The caller's idempotency key.
    pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
    /// The cost that the caller expects, in the route's cost unit.
    pub const COST_HINT: &str = "X-Cost-Hint";
}

/// A final answer of our own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What happened.
    pub code: Code,
    /// When to come back, where that helps.
    pub retry_after: Option<Millis>,
    /// The HTTP status of the request that ran under the same key.
    pub ran_status: Option<u16>,
}

#[derive(Serialize)]
struct Body<'a> {
    code: u16,
    name: &'a str,
    outcome: Outcome,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ran_status: Option<u16>,
}

impl From<Code> for Refusal {
    fn from(code: Code) -> Refusal {
        Refusal { code, retry_after: None, ran_status: None }
    }
}

impl Refusal {
    /// The answer's JSON body.
    pub fn json(&self) -> String {
        let body = Body {
            code: self.code.number(),
            name: self.code.into(),
            outcome: self.code.outcome(),
            message: message(self.code.outcome()),
            retry_after_ms: self.retry_after.map(|it| it.0),
            ran_status: self.ran_status,
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// The event that ends a cut event stream.
    pub fn event(&self) -> String {
        format!("\n\nevent: error\ndata: {}\n\n", self.json())
    }

    /// The whole HTTP answer.
    pub fn response(&self) -> Response<'static> {
        let json = self.json();
        let mut res = Response::new();
        res.set_status(Status::new(self.code.status()));
        res.set_header(ContentType::JSON);
        res.set_raw_header(headers::CODE, self.code.number().to_string());
        res.set_raw_header(headers::OUTCOME, self.code.outcome().to_string());
        if let Some(span) = self.retry_after {
            res.set_raw_header("Retry-After", seconds(span).to_string());
        }
        res.set_sized_body(json.len(), Cursor::new(json));
        res
    }
}

fn message(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::NotRun => "the request was not run and may be sent again",
        Outcome::Ran => "the request ran before; it was not run again",
        Outcome::Unknown => "the request may have run; do not send it again as new",
    }
}

/// Whole seconds, rounded up, so that nobody comes back too early.
fn seconds(span: Millis) -> u64 {
    span.0.div_ceil(MILLIS_PER_SECOND)
}

const MILLIS_PER_SECOND: u64 = 1_000;
