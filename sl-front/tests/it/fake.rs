//! A daemon that records what it is told.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, Ordering},
};

use sl_base::Millis;
use sl_front::{Daemon, Options, Server, serve};

pub const OPERATOR_KEY: &str = "the operators' key";

#[derive(Clone)]
pub struct Fake {
    pub ready: Arc<AtomicBool>,
    pub leaving: Arc<AtomicBool>,
    pub drained: Arc<Mutex<Vec<Option<Millis>>>>,
}

impl Daemon for Fake {
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

    async fn drain(&self, within: Option<Millis>) -> bool {
        self.drained.lock().unwrap().push(within);
        !self.leaving.load(Ordering::Relaxed)
    }
}

pub struct Bed {
    pub fake: Fake,
    pub server: Server,
}

impl Bed {
    pub async fn start() -> Bed {
        let fake = Fake {
            ready: Arc::new(AtomicBool::new(true)),
            leaving: Arc::default(),
            drained: Arc::default(),
        };
        let any = "127.0.0.1:0".parse().unwrap();
        let hash = *blake3::hash(OPERATOR_KEY.as_bytes()).as_bytes();
        let options = Options { operator: any, metrics: any, operator_key_hashes: vec![hash] };
        let server = serve(options, fake.clone()).await.unwrap();
        Bed { fake, server }
    }
}
