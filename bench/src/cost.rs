//! What a request costs one real instance: processor time and wake-ups, by kind of request.

use std::{
    cell::RefCell,
    fs, io,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use stand_ins::{Call, Caller, document};
use tokio::task::{LocalSet, spawn_local};

use crate::{Fleet, Instance, fleet};

/// A kind of request, by what the instance does with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// Nothing is sent. What the instance takes then is taken off the other kinds.
    Idle,
    /// A response that is read as a whole.
    Plain,
    /// A response of ten events.
    Stream,
    /// A model request that no engine can begin in time, so that the decision rejects it.
    Rejected,
    /// A request without a route, which the instance rejects when it has read the head.
    Unrouted,
}

/// What is sent, and to how large a fleet.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the `sesamelock` binary.
    pub binary: PathBuf,
    /// Number of model engines.
    pub engines: usize,
    /// Requests a second.
    pub rate: u32,
    /// How long requests of one kind are sent.
    pub duration: Duration,
    /// Each so many requests, one comes on a new connection; 0 for none.
    pub new_connection_every: u32,
}

/// What an instance did while requests of one kind were sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Requests sent.
    pub requests: u32,
    /// Requests whose response had the status that is expected of the kind.
    pub expected: u32,
    /// How long it took.
    pub elapsed: Duration,
    /// What the process used meanwhile.
    pub usage: Usage,
}

/// What a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time of all threads.
    pub processor: Duration,
    /// How often a thread waited, so that it had to be woken.
    pub waits: u64,
}

/// One instance with stand-ins, to which requests are sent.
#[derive(Debug)]
pub struct Testbed {
    options: Options,
    fleet: Fleet,
}

/// Plain servers of the fleet.
const APPS: usize = 20;

/// Size of the prompts that are served, in tokens.
const PROMPT_TOKENS: u32 = 400;

/// Size of the prompts that are rejected: no engine reads them within [`REJECTED_TIMEOUT`].
const REJECTED_PROMPT_TOKENS: u32 = 100_000;

/// The time limit that the callers of rejected requests state.
const REJECTED_TIMEOUT: Duration = Duration::from_millis(1);

/// Tokens that each model request asks for.
const OUTPUT_TOKENS: u32 = 60;

/// How long an instance settles before its use is measured.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

impl Testbed {
    /// Starts the instance and its stand-ins.
    ///
    /// # Errors
    ///
    /// The same as of [`Fleet::start`].
    pub async fn start(options: Options) -> io::Result<Testbed> {
        let fleet = fleet::Options {
            binary: options.binary.clone(),
            instances: 1,
            apps: APPS,
            engines: options.engines,
        };
        let fleet = Fleet::start_in(&["here"], fleet).await?;
        Ok(Testbed { options, fleet })
    }

    /// The instance that is measured.
    pub fn instance(&self) -> &Instance {
        &self.fleet.instances[0]
    }

    /// Sends requests of one kind at the fixed rate, and returns what they cost.
    ///
    /// # Errors
    ///
    /// Returns an error if the use of the process cannot be read.
    pub async fn measure(&self, kind: Kind) -> io::Result<Cost> {
        tokio::time::sleep(SETTLE_TIME).await;
        let (before, started_at) = (self.usage()?, Instant::now());
        let (requests, expected) = LocalSet::new().run_until(self.send(kind)).await;
        let (elapsed, after) = (started_at.elapsed(), self.usage()?);
        let usage = Usage {
            processor: after.processor.saturating_sub(before.processor),
            waits: after.waits.saturating_sub(before.waits),
        };
        Ok(Cost { requests, expected, elapsed, usage })
    }

    fn usage(&self) -> io::Result<Usage> {
        let id = self.instance().process_id().ok_or(io::ErrorKind::NotFound)?;
        usage_of(id)
    }

    /// Sends requests of one kind; returns how many, and how many got the expected status.
    async fn send(&self, kind: Kind) -> (u32, u32) {
        if kind == Kind::Idle {
            tokio::time::sleep(self.options.duration).await;
            return (0, 0);
        }
        let requests = (self.options.duration.as_secs_f64() * f64::from(self.options.rate)) as u32;
        let callers = Callers::new(self.instance().caller);
        let mut interval = tokio::time::interval(Duration::from_secs(1) / self.options.rate.max(1));
        let mut sent = Vec::new();
        for index in 0..requests {
            interval.tick().await;
            let every = self.options.new_connection_every;
            let is_new = every > 0 && index % every == 0;
            let (callers, call) = (callers.clone(), kind.call(index));
            sent.push(spawn_local(async move { callers.call(call, is_new).await }));
        }
        let mut expected = 0;
        for request in sent {
            let status = request.await.ok().and_then(Result::ok);
            expected += u32::from(status == Some(kind.status()));
        }
        (requests, expected)
    }
}

impl Kind {
    /// The request with this number.
    fn call(self, index: u32) -> Call {
        let attempt_id = format!("{self}-{index}");
        let target = match self {
            Kind::Idle | Kind::Unrouted => "/nowhere/1",
            Kind::Plain => "/status/1",
            Kind::Stream | Kind::Rejected => "/chat/1",
        };
        let method = if self.is_model_request() { "POST" } else { "GET" };
        let mut call = Call::new(method, document::HOST, target, &attempt_id);
        call.api_key = Some(document::BREWERS_KEY.to_owned());
        if self.is_model_request() {
            let tokens =
                if self == Kind::Rejected { REJECTED_PROMPT_TOKENS } else { PROMPT_TOKENS };
            let parts = format!("shared:{},own-{index}:{}", tokens / 2, tokens / 2);
            call.prompt = Some((tokens, OUTPUT_TOKENS, parts));
        }
        if self == Kind::Rejected {
            call.timeout = REJECTED_TIMEOUT;
        }
        call
    }

    fn is_model_request(self) -> bool {
        matches!(self, Kind::Stream | Kind::Rejected)
    }

    /// The status of each response.
    fn status(self) -> u16 {
        match self {
            Kind::Idle | Kind::Plain | Kind::Stream => 200,
            Kind::Rejected => 503,
            Kind::Unrouted => 404,
        }
    }
}

/// Callers that keep their connections.
#[derive(Clone)]
struct Callers {
    address: SocketAddr,
    idle: Rc<RefCell<Vec<Caller>>>,
}

impl Callers {
    fn new(address: SocketAddr) -> Callers {
        Callers { address, idle: Rc::default() }
    }

    /// Sends a request and returns the status of its response. With `is_new` it opens a connection
    /// for it and closes that afterwards.
    async fn call(&self, call: Call, is_new: bool) -> io::Result<u16> {
        let kept = if is_new { None } else { self.take_idle() };
        let mut caller = match kept {
            Some(caller) => caller,
            None => Caller::connect(self.address).await?,
        };
        let response = caller.call(&call).await?;
        let stays_open = response.is_complete && response.header("connection") != Some("close");
        if stays_open && !is_new {
            self.idle.borrow_mut().push(caller);
        }
        Ok(response.status())
    }

    fn take_idle(&self) -> Option<Caller> {
        let mut idle = self.idle.borrow_mut();
        while let Some(mut caller) = idle.pop() {
            if caller.is_idle() {
                return Some(caller);
            }
        }
        None
    }
}

/// What the threads of a process have used.
///
/// # Errors
///
/// If the process does not exist, or the system does not tell.
pub fn usage_of(process_id: u32) -> io::Result<Usage> {
    let mut usage = Usage::default();
    for thread in fs::read_dir(format!("/proc/{process_id}/task"))? {
        let dir = thread?.path();
        let times = fs::read_to_string(dir.join("schedstat"))?;
        let nanos = times.split_whitespace().next().and_then(|it| it.parse().ok());
        usage.processor += Duration::from_nanos(nanos.ok_or(io::ErrorKind::InvalidData)?);
        let status = fs::read_to_string(dir.join("status"))?;
        let waits = status.lines().find_map(|it| it.strip_prefix("voluntary_ctxt_switches:"));
        let waits: Option<u64> = waits.and_then(|it| it.trim().parse().ok());
        usage.waits += waits.ok_or(io::ErrorKind::InvalidData)?;
    }
    Ok(usage)
}
