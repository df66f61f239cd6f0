//! From the daemon's parts to Rocket's response.

use std::io::Cursor;

use bytes::Bytes;
use rocket::{Response, http::Status};
use sl_base::{Code, Outcome};
use tokio::sync::mpsc;

use crate::{
    Head, Node, Part, Refusal,
    body::{Cut, Streamed, Watch},
    connection::Connection,
    forward,
    refusal::headers,
};

/// What shapes an answer besides its parts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Options {
    /// Bodies up to this many bytes are passed on only when they are whole.
    pub(crate) buffer_max: u64,
    /// Whether the call was a `HEAD`, whose answer has no body.
    pub(crate) is_head: bool,
    /// The caller's connection.
    pub(crate) connection: Connection,
}

/// Waits for the answer's head and makes the response.
pub(crate) async fn respond<N: Node + Unpin>(
    mut parts: mpsc::Receiver<Part>,
    mut watch: Watch<N>,
    options: Options,
) -> Result<Response<'static>, Refusal> {
    let head = match first(&mut parts).await {
        Ok(head) => head,
        Err(refusal) => {
            watch.end();
            return Err(refusal);
        }
    };
    let mut res = start(&head);
    match mode(&head, &options) {
        Mode::Stream(cut) => {
            let body = Streamed::new(Vec::new(), parts, cut, options.connection, watch);
            stream(&mut res, head.length, body);
        }
        Mode::Gather => {
            let (pieces, whole) = gather(&mut parts, options.buffer_max).await;
            match whole {
                Whole::Yes => {
                    watch.end();
                    sized(&mut res, &head, pieces, &options);
                }
                Whole::No(refusal) => {
                    watch.end();
                    return Err(refusal);
                }
                Whole::TooLarge => {
                    let cut = Cut::Connection;
                    let body = Streamed::new(pieces, parts, cut, options.connection, watch);
                    stream(&mut res, head.length, body);
                }
            }
        }
    }
    Ok(res)
}

enum Mode {
    /// Read it whole first.
    Gather,
    /// Pass it on while it comes.
    Stream(Cut),
}

enum Whole {
    Yes,
    No(Refusal),
    TooLarge,
}

async fn first(parts: &mut mpsc::Receiver<Part>) -> Result<Head, Refusal> {
    loop {
        match parts.recv().await {
            Some(Part::Head(head)) => return Ok(head),
            Some(Part::Failed(refusal)) => return Err(refusal),
            Some(Part::Piece(_) | Part::End) => {}
            None => return Err(Code::Stopped.into()),
        }
    }
}

fn start(head: &Head) -> Response<'static> {
    let mut res = Response::new();
    res.set_status(Status::new(head.status));
    for (name, value) in forward::answer_headers(&head.headers) {
        res.adjoin_raw_header(name.clone(), value.clone());
    }
    res.set_raw_header(headers::OUTCOME, Outcome::Ran.to_string());
    res
}

fn mode(head: &Head, options: &Options) -> Mode {
    match head.length {
        _ if options.is_head => Mode::Gather,
        Some(length) if length > options.buffer_max => Mode::Stream(Cut::Connection),
        Some(_) => Mode::Gather,
        None if has_type(head, &["text/event-stream"]) => Mode::Stream(Cut::Event),
        None if has_type(head, &STREAMED_TYPES) => Mode::Stream(Cut::Connection),
        None => Mode::Gather,
    }
}

/// Content types whose readers want each piece at once.
const STREAMED_TYPES: [&str; 4] =
    ["application/x-ndjson", "application/ndjson", "application/jsonl", "application/json-seq"];

fn has_type(head: &Head, types: &[&str]) -> bool {
    head.headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("content-type"))
        .filter_map(|(_, value)| value.split(';').next())
        .any(|value| types.iter().any(|it| it.eq_ignore_ascii_case(value.trim())))
}

async fn gather(parts: &mut mpsc::Receiver<Part>, max: u64) -> (Vec<Bytes>, Whole) {
    let mut pieces = Vec::new();
    let mut size = 0;
    loop {
        match parts.recv().await {
            Some(Part::Piece(piece)) => {
                size += piece.len() as u64;
                pieces.push(piece);
                if size > max {
                    return (pieces, Whole::TooLarge);
                }
            }
            Some(Part::Head(_)) => {}
            Some(Part::End) => return (pieces, Whole::Yes),
            Some(Part::Failed(refusal)) => {
                return (pieces, Whole::No(refusal));
            }
            None => return (pieces, Whole::No(Code::Stopped.into())),
        }
    }
}

fn sized(res: &mut Response<'static>, head: &Head, pieces: Vec<Bytes>, options: &Options) {
    if options.is_head {
        if let Some(length) = head.length {
            res.set_raw_header("Content-Length", length.to_string());
        }
        res.set_streamed_body(tokio::io::empty());
        return;
    }
    let body = pieces.concat();
    res.set_sized_body(body.len(), Cursor::new(body));
}

/// Passes a body on while it comes.
fn stream<N: Node + Unpin>(res: &mut Response<'static>, length: Option<u64>, body: Streamed<N>) {
    if let Some(length) = length {
        res.set_raw_header("Content-Length", length.to_string());
    }
    res.set_max_chunk_size(CHUNK_BYTES);
    res.set_streamed_body(body);
}

/// Bytes that one write to the caller carries at most.
const CHUNK_BYTES: usize = 16 * 1024;
