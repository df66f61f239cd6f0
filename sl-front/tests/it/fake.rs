//! A fake daemon that records drain calls.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, Ordering},
};

use sl_base::Millis;
use sl_front::{Daemon, Options, Server, serve};

pub const OPERATOR_KEY: &str = "the operators' key";

#[derive(Clone)]
pub struct FakeDaemon {
    pub ready: Arc<AtomicBool>,
    pub shutting_down: Arc<AtomicBool>,
    pub drain_calls: Arc<Mutex<Vec<Option<Millis>>>>,
}

impl Daemon for FakeDaemon {
    fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    async fn metrics(&self) -> String {
        "# EOF\n".to_owned()
    }

    async fn status(&self) -> Option<String> {
        Some("{}".to_owned())
    }

    async fn report(&self) -> Option<String> {
        Some("{}".to_owned())
    }

    async fn drain(&self, timeout: Option<Millis>) -> bool {
        self.drain_calls.lock().unwrap().push(timeout);
        !self.shutting_down.load(Ordering::Relaxed)
    }
}

pub struct TestServer {
    pub daemon: FakeDaemon,
    pub server: Server,
}

impl TestServer {
    pub async fn start() -> TestServer {
        let daemon = FakeDaemon {
            ready: Arc::new(AtomicBool::new(true)),
            shutting_down: Arc::default(),
            drain_calls: Arc::default(),
        };
        let any_port = "127.0.0.1:0".parse().unwrap();
        let hash = *blake3::hash(OPERATOR_KEY.as_bytes()).as_bytes();
        let options =
            Options { operator: any_port, metrics: any_port, operator_key_hashes: vec![hash] };
        let server = serve(options, daemon.clone()).await.unwrap();
        TestServer { daemon, server }
    }
}
