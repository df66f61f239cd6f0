//! Puts the parts together, and takes them apart again.

use futures::{Stream, StreamExt};
use sl_base::Millis;
use sl_config::{Settings, key::KeyError};
use sl_peer::{Hello, Key, Links};
use sl_step::State;
use slog::{Logger, info};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::mpsc,
};

use crate::{
    burn::Burn, clock::Clock, handle::Handle, held::Requests, log, metrics::Metrics, options,
    owner::Owner,
};

/// Why the daemon did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The fleet's key could not be read.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// An operator key's hash is no hash.
    #[error("`{0}` is not a BLAKE3 hash in hex")]
    KeyHash(String),
    /// A client of the HTTP library could not be set up.
    #[error("the HTTP client cannot be set up")]
    Http(#[from] reqwest::Error),
    /// The control port could not be opened.
    #[error(transparent)]
    Control(#[from] sl_peer::Error),
    /// The caller, operator or metrics port could not be opened.
    #[error(transparent)]
    Front(#[from] sl_front::Error),
    /// Signals cannot be caught.
    #[error("signals cannot be caught")]
    Signals(#[source] std::io::Error),
}

/// The stop signals of this process, SIGTERM and SIGINT.
///
/// # Errors
///
/// [`Error::Signals`] where the system does not let them be caught.
pub fn signals() -> Result<impl Stream<Item = ()>, Error> {
    let term = signal(SignalKind::terminate()).map_err(Error::Signals)?;
    let int = signal(SignalKind::interrupt()).map_err(Error::Signals)?;
    Ok(futures::stream::unfold((term, int), |(mut term, mut int)| async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        Some(((), (term, int)))
    }))
}

/// Runs the daemon until a planned stop is seen through. The first of `signals` begins
/// it; each further one cuts off at once what is still under way.
///
/// # Errors
///
/// Where the daemon cannot start; nothing was taken in then.
pub async fn run(settings: Settings, signals: impl Stream<Item = ()>) -> Result<(), Error> {
    let log = log::logger(settings.log, &settings.name);
    let clock = Clock::start();
    let hello = Hello { from: settings.id(), incarnation: clock.incarnation() };
    let secret = settings.keys.control.read(std::fs::read_to_string, |name| std::env::var(name))?;
    let key = Key::derive(secret.expose().as_bytes());
    let counters = sl_peer::Counters::default();
    let links_options = sl_peer::Options::default();
    let links = Links::new(hello, key.clone(), links_options, counters.clone());
    let platform_options = sl_platform::Options::new(settings.platform.address.clone());
    let platform = sl_platform::Client::new(platform_options)?;
    let back = sl_back::Client::new(sl_back::Options::default(), move || clock.now())?;
    let metrics = Metrics::new(counters.clone(), platform.clone());
    let (commands, received) = mpsc::channel(COMMANDS_AHEAD);
    let stop_within = settings.periods.stop_within;
    let burn = Burn::new(&settings.name, clock);
    let handle =
        Handle::new(commands.clone(), metrics.clone(), links.clone(), burn.clone(), stop_within);

    let control = settings.listen.control;
    let control = sl_peer::serve(control, key, links_options, counters, handle.clone()).await?;
    let front = options::front(&settings).map_err(Error::KeyHash)?;
    let front = sl_front::serve(front, handle.clone()).await?;
    info!(log, "started";
        "caller" => %front.caller,
        "control" => %control.address,
        "operator" => %front.operator,
        "metrics" => %front.metrics,
        "incarnation" => clock.incarnation().0,
    );

    let owner = Owner {
        state: State::new(options::state(&settings, clock.incarnation()), clock.now()),
        clock,
        me: options::status(&settings, clock.incarnation()),
        list_within: settings.platform.call_within,
        commands,
        handle: handle.clone(),
        links,
        platform,
        back,
        metrics,
        burn,
        log: log.clone(),
        requests: Requests::default(),
    };
    let owner = tokio::spawn(owner.run(received));
    wait(owner, signals, &handle, &log).await;

    handle.set_ready(false);
    front.close(FLUSH_WITHIN).await;
    info!(log, "stopped");
    Ok(())
}

async fn wait(
    mut owner: tokio::task::JoinHandle<()>,
    signals: impl Stream<Item = ()>,
    handle: &Handle,
    log: &Logger,
) {
    let mut signals = std::pin::pin!(signals.fuse());
    let mut within = handle.stop_within();
    loop {
        tokio::select! {
            ended = &mut owner => {
                if let Err(e) = ended {
                    slog::error!(log, "the owner of the state failed"; "reason" => %e);
                }
                return;
            }
            Some(()) = signals.next() => {
                handle.stop(within);
                within = Millis(0);
            }
        }
    }
}

/// Commands that may wait for the owner.
const COMMANDS_AHEAD: usize = 4_096;
/// How long the last answers may take to reach their callers.
const FLUSH_WITHIN: Millis = Millis(10_000);
