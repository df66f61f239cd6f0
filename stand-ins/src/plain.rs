//! A plain service: any call takes a while and is answered whole. What is a repeat of
//! what it does not judge; it only records every run.

use std::time::Duration;

use rocket::http::Status;

use crate::{
    backends::{Job, Kind},
    serve::{self, Answer},
};

pub(crate) async fn answer(mut job: Job) -> Answer {
    let span = span(&job);
    let slot = job.begin().await;
    tokio::time::sleep(span).await;
    job.finish();
    drop(slot);
    job.before_answer().await;
    let body = format!(
        r#"{{"path":"{}","server":"{}","bytes":{}}}"#,
        job.call.path,
        job.unit().spec.name,
        job.call.body.len(),
    );
    let answer = if job.strikes.cut || job.strikes.stall {
        half(&job, body)
    } else {
        serve::text(Status::Ok, body)
    };
    job.mark(answer)
}

// Sends half of an answer whose whole length was promised, and then no more.
fn half(job: &Job, body: String) -> Answer {
    let length = body.len();
    let link = job.link.clone();
    let cut = job.strikes.cut;
    let stream = futures::stream::unfold(0, move |step| {
        let (link, body) = (link.clone(), body.clone());
        async move {
            if step == 0 {
                return Some((body.into_bytes()[..length / 2].to_vec().into(), 1));
            }
            tokio::time::sleep(HALF_LEAVES_WITHIN).await;
            if cut {
                link.cut();
            }
            std::future::pending().await
        }
    });
    let mut answer = serve::event_stream(stream);
    answer.set_raw_header("Content-Type", "application/json");
    answer.set_raw_header("Content-Length", length.to_string());
    answer
}

/// How long the first half is given to leave before the connection is cut.
const HALF_LEAVES_WITHIN: Duration = Duration::from_millis(50);

fn span(job: &Job) -> Duration {
    let asked = job.call.header("X-Service-Millis");
    let usual = match job.unit().spec.kind {
        Kind::Plain { service_ms } => service_ms,
        Kind::Engine { .. } => 0,
    };
    Duration::from_millis(asked.and_then(|it| it.parse().ok()).unwrap_or(usual))
}
