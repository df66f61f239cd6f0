//! The caller port: every check that comes before the reducer, and the way in.

use bytes::Bytes;
use rocket::{
    Data, Request, Response, Route,
    data::DataStream,
    form::Form,
    http::{Method, Status},
    route::{Handler, Outcome},
};
use sl_back::{Target, TargetError};
use sl_base::{
    Code, Millis,
    hash::{Fingerprint, KeyHash},
};
use sl_config::{Config, KeyRule, Team, template};
use sl_step::event::Arrival;
use tokio::{io::AsyncReadExt, sync::mpsc, time};

use crate::{
    CallerRequest, Gate, Job, Label, Node, Part, Refusal, answer,
    body::Watch,
    connection::{Callers, Connection},
    forward,
    gate::Pass,
    refusal::headers,
};

/// Bounds that every request meets at the door.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub(crate) headers_max: u64,
    pub(crate) body_within: Millis,
    pub(crate) buffer_max: u64,
}

/// Takes each call on the caller port.
#[derive(Clone)]
pub(crate) struct Door<N: Node> {
    node: N,
    gate: Gate,
    callers: Callers,
    limits: Limits,
}

impl<N: Node + Unpin> Door<N> {
    pub(crate) fn new(node: N, gate: Gate, callers: Callers, limits: Limits) -> Door<N> {
        Door { node, gate, callers, limits }
    }

    /// One route a method, each for any path.
    pub(crate) fn routes(self) -> Vec<Route> {
        METHODS.into_iter().map(|method| Route::new(method, "/<_..>", self.clone())).collect()
    }

    async fn take(
        &self,
        req: &Request<'_>,
        mut data: Data<'_>,
    ) -> Result<Response<'static>, Refused> {
        let peeked_whole = data.peek_complete();
        let method = method(req, &mut data).await.as_str();
        let mut body = data.open(u64::MAX.into());
        // Rocket swallows an error in its peek, after which the body seems to be whole.
        if !peeked_whole && body.hint() < ROCKET_PEEK_BYTES {
            return Err(Code::BodyIncomplete.into());
        }
        let checked = match self.check(req, method) {
            Ok(checked) => checked,
            Err(code) => {
                self.discard(req, &mut body).await;
                return Err(code.into());
            }
        };
        let read = self.read(req, &mut body, checked.route.body_max).await;
        let (bytes, pass) = match read {
            Ok(read) => read,
            Err(code) => {
                if code != Code::BodyIncomplete {
                    self.discard(req, &mut body).await;
                }
                return Err(Refused::new(code, checked.label()));
            }
        };
        let label = checked.label();
        let handed = self.hand_over(req, method, checked, bytes, pass);
        let (parts, watch, options) = handed.map_err(|code| Refused::new(code, label))?;
        let answer = answer::respond(parts, watch, options).await;
        answer.map_err(Refused::Counted)
    }

    fn hand_over(
        &self,
        req: &Request<'_>,
        method: &str,
        checked: Checked,
        body: Bytes,
        pass: Pass,
    ) -> Result<(mpsc::Receiver<Part>, Watch<N>, answer::Options), Code> {
        let request = self.node.next_request();
        let connection = connection(req);
        let caller = self.callers.enter(request, connection);
        let label = checked.label();
        let target = checked.target;
        let arrival = Arrival {
            request,
            team: checked.team.id,
            policy: checked.route.policy,
            key: checked.key,
            fingerprint: Fingerprint::of(checked.team.id, method, target.as_str(), &body),
            bytes: body.len() as u64,
            hint: hint(req).unwrap_or(checked.route.policy.hint),
        };
        let (tx, rx) = mpsc::channel(PARTS_AHEAD);
        let job = Job {
            label,
            arrival,
            request: CallerRequest {
                method: method.to_owned(),
                target,
                headers: forward::request_headers(req),
                body,
            },
            answer: tx,
        };
        self.node.submit(job)?;
        let watch = Watch::new(self.node.clone(), request, pass, caller);
        let options = answer::Options {
            buffer_max: self.limits.buffer_max,
            is_head: method == "HEAD",
            connection,
        };
        Ok((rx, watch, options))
    }

    fn check(&self, req: &Request<'_>, method: &str) -> Result<Checked, Code> {
        if forward::size(req) as u64 > self.limits.headers_max {
            return Err(Code::HeadersTooLarge);
        }
        let config = self.node.config().ok_or(Code::NoConfiguration)?;
        let credential = credential(req).ok_or(Code::UnknownCredential)?;
        let (team, template) = config.team_of(&credential).ok_or(Code::UnknownCredential)?;
        // A target that a client would fold into another path has no route: the one that
        // was checked would not be the one that is called.
        let target = req.uri().to_string().parse();
        let target = target.map_err(|_: TargetError| Code::UnknownRoute)?;
        let path = req.uri().path();
        let route = Config::route(template, method, path.as_str())?;
        let key = key(req, team, route)?;
        Ok(Checked { team: team.clone(), route: route.clone(), target, key })
    }

    /// Reads the body whole, or says why not.
    async fn read(
        &self,
        req: &Request<'_>,
        body: &mut DataStream<'_>,
        max: u64,
    ) -> Result<(Bytes, Pass), Code> {
        let reading = self.read_bounded(req, body, max);
        match time::timeout(self.limits.body_within.into(), reading).await {
            Ok(outcome) => outcome,
            Err(_) => Err(Code::BodyIncomplete),
        }
    }

    async fn read_bounded(
        &self,
        req: &Request<'_>,
        body: &mut DataStream<'_>,
        max: u64,
    ) -> Result<(Bytes, Pass), Code> {
        let mut pass = self.gate.enter().ok_or(Code::Overloaded)?;
        let announced = announced(req);
        if announced.is_some_and(|it| it > max) {
            return Err(Code::BodyTooLarge);
        }
        // One byte more than announced, so that the end is seen without growing.
        let first = announced.map_or(READ_BYTES, |it| READ_BYTES.min(it as usize + 1));
        let mut bytes = Vec::with_capacity(first);
        loop {
            if bytes.len() == bytes.capacity() {
                bytes.reserve(READ_BYTES);
            }
            let n = body.read_buf(&mut bytes).await.map_err(|_| Code::BodyIncomplete)?;
            if n == 0 {
                break;
            }
            if bytes.len() as u64 > max {
                return Err(Code::BodyTooLarge);
            }
            if !pass.grow(n as u64) {
                return Err(Code::Overloaded);
            }
        }
        let size = bytes.len() as u64;
        if announced.is_some_and(|it| it != size) {
            return Err(Code::BodyIncomplete);
        }
        // It may wait for long, so it keeps no more room than it needs.
        Ok((bytes.into_boxed_slice().into(), pass))
    }

    /// Reads on for a while what will not be used: a caller that still writes would
    /// otherwise see a broken connection in place of its answer.
    async fn discard(&self, req: &Request<'_>, body: &mut DataStream<'_>) {
        if req.headers().contains("expect") {
            return;
        }
        let reading = async {
            // On the heap: an array here would be part of every request's future.
            let mut buf = vec![0; READ_BYTES];
            let mut left = DISCARD_BYTES;
            while left > 0 {
                match body.read(&mut buf).await {
                    Ok(0) | Err(_) => return,
                    Ok(n) => left = left.saturating_sub(n),
                }
            }
        };
        let _ = time::timeout(DISCARD_WITHIN.into(), reading).await;
    }
}

#[rocket::async_trait]
impl<N: Node + Unpin> Handler for Door<N> {
    async fn handle<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let mut res = match self.take(req, data).await {
            Ok(res) => res,
            Err(Refused::Counted(refusal)) => refusal.response(),
            Err(Refused::Here { refusal, label }) => {
                self.node.refused(refusal.code, label.as_ref());
                refusal.response()
            }
        };
        if !self.node.is_ready() {
            res.set_raw_header("Connection", "close");
        }
        Outcome::Success(res)
    }
}

/// Answers what Rocket itself turns away: methods that it does not know.
#[derive(Clone)]
pub(crate) struct Stray<N: Node>(pub(crate) N);

#[rocket::async_trait]
impl<N: Node> rocket::catcher::Handler for Stray<N> {
    async fn handle<'r>(
        &self,
        status: Status,
        _req: &'r Request<'_>,
    ) -> rocket::catcher::Result<'r> {
        let code = match status.code {
            400 | 405 => Code::MethodNotAllowed,
            404 => Code::UnknownRoute,
            431 => Code::HeadersTooLarge,
            _ => Code::ConnectionLost,
        };
        self.0.refused(code, None);
        Ok(Refusal::from(code).response())
    }
}

/// A request that gets an answer of ours.
enum Refused {
    /// The daemon gave it, and counted it.
    Counted(Refusal),
    /// The door gave it.
    Here { refusal: Refusal, label: Option<Label> },
}

impl Refused {
    fn new(code: Code, label: Label) -> Refused {
        Refused::Here { refusal: refusal(code), label: Some(label) }
    }
}

impl From<Code> for Refused {
    fn from(code: Code) -> Refused {
        Refused::Here { refusal: code.into(), label: None }
    }
}

struct Checked {
    team: Team,
    route: template::Route,
    target: Target,
    key: Option<KeyHash>,
}

impl Checked {
    fn label(&self) -> Label {
        Label { team: self.team.name.clone(), route: self.route.name.clone() }
    }
}

fn refusal(code: Code) -> Refusal {
    Refusal {
        ran_status: None,
        code,
        retry_after: (code == Code::Overloaded).then_some(OVERLOADED_RETRY),
    }
}

/// The method as the caller sent it. Rocket rewrites a `POST` whose form begins with
/// `_method=` before any code of ours runs; that body is sent on as it stands, so the
/// method must be, too.
async fn method(req: &Request<'_>, data: &mut Data<'_>) -> Method {
    let is_form = req.content_type().is_some_and(|it| it.is_form());
    if !is_form {
        return req.method();
    }
    let start = data.peek(ROCKET_PEEK_BYTES).await;
    let rewritten = std::str::from_utf8(start)
        .ok()
        .and_then(|it| Form::values(it).next())
        .filter(|field| field.name == "_method")
        .and_then(|field| field.value.parse::<Method>().ok());
    match rewritten {
        Some(method) if method == req.method() => Method::Post,
        _ => req.method(),
    }
}

fn connection(req: &Request<'_>) -> Connection {
    Connection { port: req.rocket().config().port, remote: req.remote() }
}

fn credential(req: &Request<'_>) -> Option<String> {
    let mut values = req.headers().get("authorization");
    let value = values.next()?;
    // Of two credentials none is taken: who should have seen which cannot be known.
    if values.next().is_some() {
        return None;
    }
    let (scheme, token) = value.split_once(' ')?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return None;
    }
    let token = token.trim();
    Some(blake3::hash(token.as_bytes()).to_hex().to_string())
}

fn key(req: &Request<'_>, team: &Team, route: &template::Route) -> Result<Option<KeyHash>, Code> {
    let mut values = req.headers().get(headers::IDEMPOTENCY_KEY);
    let value = values.next();
    if values.next().is_some() {
        return Err(Code::KeyInvalid);
    }
    match value {
        Some(value) if is_key(value) => Ok(Some(KeyHash::of(team.id, value))),
        Some(_) => Err(Code::KeyInvalid),
        None if route.policy.idempotent || route.policy.key == KeyRule::Optional => Ok(None),
        None => Err(Code::KeyRequired),
    }
}

fn is_key(value: &str) -> bool {
    (1..=KEY_BYTES).contains(&value.len()) && value.bytes().all(|it| it.is_ascii_graphic())
}

fn hint(req: &Request<'_>) -> Option<u64> {
    req.headers().get_one(headers::COST_HINT)?.parse().ok().filter(|&it| it > 0)
}

fn announced(req: &Request<'_>) -> Option<u64> {
    req.headers().get_one("content-length")?.parse().ok()
}

/// Every method that Rocket knows.
const METHODS: [Method; 9] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Options,
    Method::Head,
    Method::Trace,
    Method::Connect,
    Method::Patch,
];

/// Parts of an answer that may wait for a slow caller.
const PARTS_AHEAD: usize = 8;
/// Bytes that one read takes.
const READ_BYTES: usize = 8 * 1024;
/// Bytes of a refused body that are read on.
const DISCARD_BYTES: usize = 64 * 1024 * 1024;
/// How long a refused body is read on.
const DISCARD_WITHIN: Millis = Millis(5_000);
/// Bytes of the longest idempotency key.
const KEY_BYTES: usize = 200;
/// When to come back to an instance that is full.
const OVERLOADED_RETRY: Millis = Millis(1_000);
/// Bytes of each body that Rocket reads before any code of ours runs.
const ROCKET_PEEK_BYTES: usize = "_method=delete".len();
