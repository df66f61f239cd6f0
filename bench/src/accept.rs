//! Accepting a template as an operator's program would.

use std::time::Duration;

use sl_base::{
    Revision, Timestamp,
    call::{Call, Reply},
};
use sl_config::{
    accept::{Acceptance, Base, Edit, Ended, Next, Stamp},
    head::{ChangeId, Head, HeadError},
    page::Page,
};
use sl_platform::Client;
use tokio::time::Instant;

/// How often the head is read before the platform is given up.
const TRIES: usize = 3;
/// How long one call may take.
const CALL_WITHIN: Duration = Duration::from_secs(2);

/// Accepts `text` as the template `name`, based on what stands now.
///
/// # Errors
///
/// How it ended, where it was not accepted.
pub async fn accept(
    platform: &Client,
    name: &str,
    text: &str,
    id: ChangeId,
) -> Result<Revision, Box<Ended>> {
    let head = head(platform).await?;
    let base = Base { revision: head.revision, page: head.page(name) };
    accept_on(platform, name, text, id, base).await
}

/// Accepts `text` as the template `name`, based on what the operator saw.
///
/// # Errors
///
/// How it ended, where it was not accepted.
pub async fn accept_on(
    platform: &Client,
    name: &str,
    text: &str,
    id: ChangeId,
    base: Base,
) -> Result<Revision, Box<Ended>> {
    let Ok(page) = Page::new(text) else {
        return Err(Box::new(Ended::TooLarge));
    };
    let edit = Edit { name: name.to_owned(), base, after: Some(page) };
    let stamp = Stamp { id, accepted_by: "bench".to_owned(), at: Timestamp::default() };
    let mut acceptance = Acceptance::new(stamp, vec![edit]);
    let mut call = acceptance.first();
    loop {
        let reply = platform.call(&call, Instant::now() + CALL_WITHIN).await;
        call = match acceptance.step(reply) {
            Next::Call(call) => call,
            Next::Done(ended) => {
                return match *ended {
                    Ended::Accepted { revision } | Ended::Unchanged { revision } => Ok(revision),
                    _ => Err(ended),
                };
            }
        };
    }
}

/// The head as it stands; an empty one before the first acceptance.
///
/// # Errors
///
/// Where the platform gave no answer, or what it holds is no head.
pub async fn head(platform: &Client) -> Result<Head, Box<Ended>> {
    let call = Call::Get { key: sl_config::head::KEY.to_owned() };
    for _ in 0..TRIES {
        match platform.call(&call, Instant::now() + CALL_WITHIN).await {
            Reply::Value { value, .. } => {
                let damaged = |e: HeadError| Box::new(Ended::Damaged(e.to_string()));
                return Head::decode(&value).map_err(damaged);
            }
            Reply::Absent => return Ok(Head::default()),
            _ => {}
        }
    }
    Err(Box::new(Ended::Unreachable))
}
