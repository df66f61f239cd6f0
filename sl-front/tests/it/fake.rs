//! A daemon that records what it is handed and answers as a test says.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use sl_base::{Code, Millis, PoolId, RequestId, Revision, TeamId};
use sl_config::{Config, Cost, KeyRule, Policy, Route, Team, Template};
use sl_front::{CallerRequest, Head, Job, Label, Node, Options, Part, Server, serve};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::mpsc,
};

pub const TOKEN: &str = "a-team-of-drivers";
pub const OPERATOR_KEY: &str = "the operators' key";

#[derive(Clone)]
pub struct Fake {
    pub ready: Arc<AtomicBool>,
    pub refused: Arc<Mutex<Vec<Code>>>,
    pub gone: Arc<Mutex<Vec<RequestId>>>,
    pub drained: Arc<Mutex<Vec<Option<Millis>>>>,
    jobs: mpsc::Sender<Job>,
    ids: Arc<AtomicU64>,
    config: Arc<Config>,
}

impl Node for Fake {
    fn config(&self) -> Option<Arc<Config>> {
        Some(self.config.clone())
    }

    fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    fn next_request(&self) -> RequestId {
        RequestId(self.ids.fetch_add(1, Ordering::Relaxed))
    }

    fn submit(&self, job: Job) -> Result<(), Code> {
        self.jobs.try_send(job).map_err(|_| Code::Overloaded)
    }

    fn caller_gone(&self, request: RequestId) {
        self.gone.lock().unwrap().push(request);
    }

    fn refused(&self, code: Code, _: Option<&Label>) {
        self.refused.lock().unwrap().push(code);
    }

    async fn metrics(&self) -> String {
        "# EOF\n".to_owned()
    }

    async fn status(&self) -> Option<String> {
        Some("{\"status\":1}".to_owned())
    }

    async fn report(&self) -> Option<String> {
        None
    }

    fn drain(&self, within: Option<Millis>) {
        self.drained.lock().unwrap().push(within);
    }
}

pub struct Bed {
    pub fake: Fake,
    pub jobs: mpsc::Receiver<Job>,
    pub server: Server,
}

impl Bed {
    pub async fn start() -> Bed {
        let (tx, jobs) = mpsc::channel(16);
        let fake = Fake {
            ready: Arc::new(AtomicBool::new(true)),
            refused: Arc::default(),
            gone: Arc::default(),
            drained: Arc::default(),
            jobs: tx,
            ids: Arc::default(),
            config: Arc::new(config()),
        };
        let server = serve(options(), fake.clone()).await.unwrap();
        Bed { fake, jobs, server }
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.server.caller)
    }

    /// Hands the next request to a task that answers with `parts`.
    pub fn answer_next(mut self, parts: Vec<Part>) -> tokio::task::JoinHandle<CallerRequest> {
        tokio::spawn(async move {
            let job = self.jobs.recv().await.unwrap();
            for part in parts {
                job.answer.send(part).await.unwrap();
            }
            // The front's own ports stay open until the test has read its answer.
            tokio::spawn(async move {
                job.answer.closed().await;
                let _ = self.server;
            });
            job.request
        })
    }

    /// Sends raw bytes and reads the answer until the connection closes or stands still.
    pub async fn raw(&self, text: &str) -> String {
        let mut stream = TcpStream::connect(self.server.caller).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        read_all(&mut stream).await
    }
}

pub async fn read_all(stream: &mut TcpStream) -> String {
    let mut all = Vec::new();
    let mut buf = [0; 4096];
    while let Ok(Ok(n)) = tokio::time::timeout(Duration::from_secs(1), stream.read(&mut buf)).await
    {
        if n == 0 {
            break;
        }
        all.extend_from_slice(&buf[..n]);
    }
    String::from_utf8_lossy(&all).into_owned()
}

pub fn head(status: u16, content_type: &str, length: Option<u64>) -> Part {
    Part::Head(Head {
        status,
        headers: vec![("content-type".to_owned(), content_type.to_owned())],
        length,
    })
}

pub fn piece(text: &str) -> Part {
    Part::Piece(text.to_owned().into())
}

pub fn failed(code: Code) -> Part {
    Part::Failed(code.into())
}

/// Waits until `done` holds.
pub async fn eventually(what: &str, done: impl Fn() -> bool) {
    for _ in 0..1_000 {
        if done() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("never came: {what}");
}

fn options() -> Options {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    Options {
        caller: any,
        operator: any,
        metrics: any,
        operator_key_hashes: vec![
            *blake3::hash(b"an older key").as_bytes(),
            *blake3::hash(OPERATOR_KEY.as_bytes()).as_bytes(),
        ],
        headers_max: 2_048,
        requests_max: 4,
        bytes_max: 1_500,
        body_within: Millis(500),
        buffer_max: 64,
    }
}

fn config() -> Config {
    let policy = Policy {
        pool: PoolId::of("pool"),
        idempotent: true,
        key: KeyRule::Required,
        order: 0,
        cost: Cost::BusyMillis,
        hint: 10,
        queue_within: Millis(1_000),
        first_byte_within: Millis(1_000),
        idle_within: Millis(1_000),
        total_within: Millis(5_000),
        retries: 1,
    };
    let route = |name: &str, path: &str, methods: &[&str], policy: Policy| Route {
        name: name.to_owned(),
        path: path.to_owned(),
        methods: methods.iter().map(|&it| it.to_owned()).collect(),
        pool: "pool".to_owned(),
        policy,
        body_max: 1_000,
        objective: None,
    };
    let once = Policy { idempotent: false, ..policy };
    let template = Template {
        name: "test".to_owned(),
        routes: vec![route("book", "/book", &["POST"], once), route("any", "/any*", &[], policy)],
        teams: vec![Team {
            name: "drivers".to_owned(),
            id: TeamId::of("drivers"),
            share: 1,
            credentials: vec![blake3::hash(TOKEN.as_bytes()).to_hex().to_string()],
            queue_max: 10,
            queue_bytes_max: 10_000,
        }],
    };
    Config::new(Revision(1), vec![Arc::new(template)])
}
