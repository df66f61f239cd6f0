//! A whole site on loopback: the stand-ins in this process, the instances as children.

use std::{io, path::PathBuf, time::Duration};

use reqwest::{Client, Method, RequestBuilder};
use sl_base::Revision;
use sl_config::head::ChangeId;
use stand_ins::{Backends, Platform, platform};
use tempfile::TempDir;

use crate::{
    Instance, Site, accept,
    instance::{self, OPERATOR_KEY},
    site,
};

/// What to start.
#[derive(Clone, Debug)]
pub struct Options {
    /// The `sesamelock` binary.
    pub binary: PathBuf,
    /// The site.
    pub site: Site,
    /// Sections that every instance's settings get besides the usual ones.
    pub more: String,
    /// Where instances reach the platform, where that is not the platform itself.
    pub platform_url: Option<String>,
    /// How the platform behaves.
    pub platform: platform::Options,
    /// Seed of the stand-ins' faults.
    pub seed: u64,
}

impl Options {
    /// The site with usual settings, run by `binary`.
    pub fn new(binary: impl Into<PathBuf>, site: Site) -> Options {
        Options {
            binary: binary.into(),
            site,
            more: String::new(),
            platform_url: None,
            platform: platform::Options::default(),
            seed: 1,
        }
    }
}

/// Why a fleet did not come up.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file, port or process could not be had.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// An HTTP client could not be set up.
    #[error(transparent)]
    Http(#[from] reqwest::Error),
    /// The template was not accepted.
    #[error("the template was not accepted: {0}")]
    NotAccepted(String),
    /// Instances did not get ready in time.
    #[error("not ready in time: {0:?}")]
    NotReady(Vec<String>),
}

/// A running site.
#[derive(Debug)]
pub struct Fleet {
    /// The platform's stand-in.
    pub platform: Platform,
    /// The backend servers' stand-ins.
    pub backends: Backends,
    /// The instances, in the order of the site.
    pub instances: Vec<Instance>,
    /// The site.
    pub site: Site,
    operator: sl_platform::Client,
    http: Client,
    changes: u64,
    _dir: TempDir,
}

impl Fleet {
    /// Starts everything, accepts the site's template and waits until every instance is ready.
    ///
    /// # Errors
    ///
    /// [`Error`] where something did not come up.
    pub async fn start(options: Options) -> Result<Fleet, Error> {
        let mut fleet = Fleet::prepare(options).await?;
        let text = fleet.site.text();
        fleet.accept(&text).await?;
        for instance in &mut fleet.instances {
            instance.start()?;
        }
        fleet.ready(READY_WITHIN).await?;
        Ok(fleet)
    }

    /// Starts the stand-ins and lists the instances, of which none is started yet.
    ///
    /// # Errors
    ///
    /// [`Error`] where something did not come up.
    pub async fn prepare(options: Options) -> Result<Fleet, Error> {
        let dir = TempDir::new()?;
        let platform = Platform::start(options.platform).await?;
        let backends = Backends::start(options.site.servers.clone(), options.seed).await?;
        for server in backends.listed() {
            platform.list_server(server);
        }
        let url = options.platform_url.unwrap_or_else(|| platform.url());
        let mut instances = Vec::new();
        for (name, data_centre) in &options.site.instances {
            let instance = Instance::prepare(&instance::Options {
                binary: &options.binary,
                dir: dir.path(),
                name,
                data_centre,
                platform: &url,
                more: &options.more,
            })?;
            platform.list_instance(instance.listed());
            instances.push(instance);
        }
        let operator = sl_platform::Client::new(sl_platform::Options::new(platform.url()))?;
        Ok(Fleet {
            platform,
            backends,
            instances,
            site: options.site,
            operator,
            http: Client::builder().no_proxy().build()?,
            changes: 0,
            _dir: dir,
        })
    }

    /// Accepts `text` as the site's template, based on what stands.
    ///
    /// # Errors
    ///
    /// [`Error::NotAccepted`] where it was not accepted.
    pub async fn accept(&mut self, text: &str) -> Result<Revision, Error> {
        self.changes += 1;
        let mut id = [0; 16];
        id[..8].copy_from_slice(&self.changes.to_le_bytes());
        accept::accept(&self.operator, self.site.template, text, ChangeId(id))
            .await
            .map_err(|ended| Error::NotAccepted(format!("{ended:?}")))
    }

    /// Waits until every instance that runs is ready.
    ///
    /// # Errors
    ///
    /// [`Error::NotReady`] with what each instance that is not ready logged last.
    pub async fn ready(&self, within: Duration) -> Result<(), Error> {
        let end = tokio::time::Instant::now() + within;
        loop {
            let mut waiting = Vec::new();
            for instance in self.instances.iter().filter(|it| it.id().is_some()) {
                if !self.is_ready(instance).await {
                    waiting.push(instance);
                }
            }
            if waiting.is_empty() {
                return Ok(());
            }
            if tokio::time::Instant::now() > end {
                let last = |it: &&Instance| {
                    let log = it.log();
                    let line = log.lines().last().unwrap_or_default();
                    format!("{}: {line}", it.name)
                };
                return Err(Error::NotReady(waiting.iter().map(last).collect()));
            }
            tokio::time::sleep(READY_PERIOD).await;
        }
    }

    /// Whether an instance says that it is ready.
    pub async fn is_ready(&self, instance: &Instance) -> bool {
        let url = format!("http://{}/ready", instance.metrics);
        let call = self.http.get(url).timeout(READY_CALL).send().await;
        call.is_ok_and(|it| it.status().is_success())
    }

    /// A call by `team` through the instance `at`.
    pub fn call(&self, at: usize, team: &str, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", self.instances[at].caller);
        self.http.request(method, url).bearer_auth(site::credential(team))
    }

    /// An operator's call to the instance `at`.
    pub fn operate(&self, at: usize, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", self.instances[at].operator);
        self.http.request(method, url).bearer_auth(OPERATOR_KEY)
    }

    /// The metrics of the instance `at`.
    ///
    /// # Errors
    ///
    /// Where the instance does not answer.
    pub async fn metrics(&self, at: usize) -> Result<String, reqwest::Error> {
        let url = format!("http://{}/metrics", self.instances[at].metrics);
        self.http.get(url).send().await?.text().await
    }
}

/// How long a fleet may take to get ready.
const READY_WITHIN: Duration = Duration::from_secs(20);
/// How often readiness is asked for.
const READY_PERIOD: Duration = Duration::from_millis(50);
/// How long an instance may take to say whether it is ready.
const READY_CALL: Duration = Duration::from_millis(500);
