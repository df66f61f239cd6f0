//! A randomized soak test of planned stops, in series and overlapping. Nothing else disturbs the
//! fleet, so every request that an instance has read gets a complete response.

mod balancer;
mod callers;
mod check;
mod plan;
mod stop;

use std::{
    io,
    path::PathBuf,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stand_ins::{Server, server::Workload};
use tokio::time::{sleep, timeout};

pub use check::{Rule, Violation};
pub use plan::Action;

use crate::{
    Fleet, fleet, instance,
    soak::{Fault, Kind, plan::Testbed},
};
use balancer::Balancer;
use stop::{Notice, Stop};

/// Options of a soak.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the `sesamelock` binary.
    pub binary: PathBuf,
    /// Seed of the planned work and of the requests.
    pub seed: u64,
    /// How long work is planned.
    pub duration: Duration,
    /// Number of instances in each of the three data centres.
    pub instances: usize,
}

/// The result of a soak.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Number of requests that were sent.
    pub requests: usize,
    /// Number of requests with a complete response that is sealed by a server.
    pub answered: usize,
    /// Number of requests that were refused as not run.
    pub refused: usize,
    /// Number of stops.
    pub stops: usize,
    /// The longest time by which the soak itself ran late.
    pub lag: Duration,
    /// Planned work, each step with its time in milliseconds from the start.
    pub actions: Vec<(u128, Action)>,
    /// Broken rules.
    pub violations: Vec<Violation>,
    /// Names and logs of the instances; empty if no rule was broken.
    pub logs: Vec<(String, String)>,
}

/// The data centres of the fleet.
pub(crate) const DATA_CENTRES: [&str; 3] = ["here", "there", "yonder"];

/// The time after SIGTERM at which an instance is killed.
pub(crate) const GRACE: Duration = instance::STOP_WITHIN.saturating_add(Duration::from_millis(600));

/// How long after its stop began an instance may report itself as ready.
const READY_WITHIN: Duration = Duration::from_secs(4);

/// How an engine for long streams processes requests.
const LONG_WORKLOAD: Workload = Workload::Engine {
    tokens_per_ms: 50,
    event_interval: Duration::from_millis(100),
    event_count: Kind::Talk.event_count(),
};

/// Number of callers for each instance.
const CALLERS: usize = callers::HABITS.len();

/// How long an operator waits for the response to a drain.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// How often it is checked whether instances have exited.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Stops instances of a fleet and checks that no request is lost.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started, an instance cannot be restarted, or the task
/// of a caller panics.
pub async fn run(options: Options) -> io::Result<Outcome> {
    let mut soak = Soak::start(&options).await?;
    let start = Instant::now();
    let callers = (options.instances * DATA_CENTRES.len() * CALLERS) as u64;
    let tasks: Vec<_> = (0..callers)
        .map(|number| {
            let seed = options.seed.wrapping_mul(callers + 1).wrapping_add(number);
            let balancer = soak.balancer.clone();
            tokio::spawn(callers::call(number, seed, balancer, start + options.duration))
        })
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let servers = soak.testbed.fleet.servers.len();
    for (at, action) in plan::actions(&mut rng, options.duration, options.instances, servers) {
        soak.watch(|_| start.elapsed() >= at).await?;
        soak.outcome.actions.push((at.as_millis(), action));
        soak.act(action).await?;
    }
    soak.watch(|it| it.is_calm() && tasks.iter().all(|it| it.is_finished())).await?;
    let mut traces = Vec::new();
    for task in tasks {
        // A panic in the task of a caller is a bug in the soak itself.
        traces.extend(task.await.map_err(io::Error::other)?);
    }
    let Soak { testbed, stops, mut outcome, .. } = soak;
    let names: Vec<String> = testbed.fleet.instances.iter().map(|it| it.name.clone()).collect();
    let servers: Vec<&Server> = testbed.all_servers().collect();
    outcome.violations.extend(check::traces(&traces, &stops, &servers, &names));
    outcome.requests = traces.len();
    let is_answered = |it: &&callers::Trace| it.record.is_sealed && it.record.is_complete;
    outcome.answered = traces.iter().filter(is_answered).count();
    outcome.refused = traces.iter().filter(|it| it.record.reports_not_run()).count();
    outcome.stops = stops.len();
    if !outcome.violations.is_empty() {
        let logs = testbed.fleet.instances.iter().map(|it| (it.name.clone(), it.log()));
        outcome.logs = logs.collect();
    }
    Ok(outcome)
}

/// A fleet whose instances are stopped and started again.
struct Soak {
    testbed: Testbed,
    balancer: std::sync::Arc<Balancer>,
    /// What was sent to the instances since their current processes began to stop; empty for
    /// those that do not stop.
    notices: Vec<Vec<(Notice, Instant)>>,
    /// The stops that have ended.
    stops: Vec<Stop>,
    outcome: Outcome,
}

impl Soak {
    async fn start(options: &Options) -> io::Result<Soak> {
        let count = options.instances * DATA_CENTRES.len();
        let binary = options.binary.clone();
        let fleet_options =
            fleet::Options { binary, instances: count, apps: count, engines: count };
        let mut fleet = Fleet::start_in(&DATA_CENTRES, fleet_options).await?;
        for index in 0..count {
            let id = format!("long-{index}");
            fleet.servers.push(fleet::start_server(&id, "long", 64, LONG_WORKLOAD).await?);
        }
        for (index, server) in fleet.servers.iter_mut().enumerate() {
            server.spec.data_centre = DATA_CENTRES[index % DATA_CENTRES.len()].to_owned();
        }
        let mut testbed = Testbed::with_relays(fleet).await?;
        testbed.inject(Fault::Configure).await?;
        sleep(Duration::from_millis(500)).await;
        Ok(Soak {
            balancer: Balancer::start(&testbed.fleet.instances),
            testbed,
            notices: vec![Vec::new(); count],
            stops: Vec::new(),
            outcome: Outcome::default(),
        })
    }

    async fn act(&mut self, action: Action) -> io::Result<()> {
        match action {
            Action::Terminate(index) if self.notices[index].is_empty() => {
                self.notify(index, Notice::Term);
            }
            Action::TerminateAgain(index) if !self.notices[index].is_empty() => {
                self.notify(index, Notice::Term);
            }
            Action::Terminate(_) | Action::TerminateAgain(_) => {}
            Action::Hangup(index) => self.notify(index, Notice::Hangup),
            Action::Drain(index) => self.drain(index).await,
            Action::Fleet(fault) => self.testbed.inject(fault).await?,
            Action::Silence(index, millis) => {
                self.testbed.fleet.servers[index].silence(Duration::from_millis(millis));
            }
        }
        Ok(())
    }

    /// Sends a signal to an instance that has been ready. A process that is starting has no signal
    /// handlers yet.
    fn notify(&mut self, index: usize, notice: Notice) {
        let signal = match notice {
            Notice::Term => Signal::SIGTERM,
            Notice::Hangup => Signal::SIGHUP,
            Notice::Kill => Signal::SIGKILL,
            Notice::Drain => return,
        };
        let notices = &mut self.notices[index];
        if self.balancer.ready_at(index).is_none() {
            return;
        }
        self.testbed.fleet.instances[index].signal(signal);
        if notice != Notice::Hangup || !notices.is_empty() {
            notices.push((notice, Instant::now()));
        }
    }

    /// Asks the instance to drain, as `sesamelock drain` does.
    async fn drain(&mut self, index: usize) {
        if self.balancer.ready_at(index).is_none() {
            return;
        }
        self.notices[index].push((Notice::Drain, Instant::now()));
        let drain = self.testbed.fleet.instances[index].drain(None);
        let drained = timeout(DRAIN_TIMEOUT, drain).await;
        let is_first = self.notices[index].len() == 1;
        if is_first && !matches!(drained, Ok(Ok(()))) {
            self.notices[index].clear();
        }
    }

    /// Restarts instances that exit, and kills those that do not, until `is_over`.
    async fn watch(&mut self, is_over: impl Fn(&Soak) -> bool) -> io::Result<()> {
        while !is_over(self) {
            let slept_at = Instant::now();
            sleep(POLL_INTERVAL).await;
            self.outcome.lag = self.outcome.lag.max(slept_at.elapsed() - POLL_INTERVAL);
            for index in 0..self.notices.len() {
                if self.testbed.fleet.instances[index].is_running() {
                    self.kill_if_late(index);
                } else {
                    self.restart(index).await?;
                }
            }
        }
        Ok(())
    }

    /// Whether no instance is stopping.
    fn is_calm(&self) -> bool {
        self.notices.iter().all(Vec::is_empty)
    }

    fn kill_if_late(&mut self, index: usize) {
        let first = |notice| self.notices[index].iter().find(|it| it.0 == notice).map(|it| it.1);
        let is_late = match first(Notice::Term) {
            Some(at) => at.elapsed() > GRACE,
            None => first(Notice::Drain).is_some_and(|it| it.elapsed() > 2 * GRACE),
        };
        if is_late && first(Notice::Kill).is_none() {
            self.notify(index, Notice::Kill);
        }
    }

    /// Notes how the process of the instance ended, and starts another one.
    async fn restart(&mut self, index: usize) -> io::Result<()> {
        let exited_at = Instant::now();
        let instance = &mut self.testbed.fleet.instances[index];
        let status = instance.wait_for_exit(POLL_INTERVAL).await?;
        instance.start()?;
        let name = instance.name.clone();
        let notices = std::mem::take(&mut self.notices[index]);
        let stop = Stop { instance: index, notices, exited_at };
        let ready_at = self.balancer.ready_at(index);
        self.balancer.forget_process(index);
        let is_killed = stop.first(Notice::Kill).is_some();
        let mut rules = Vec::new();
        if is_killed {
            rules.push(Rule::StoppedLate);
        }
        if stop.notices.is_empty() || !is_killed && !status.success() {
            rules.push(Rule::UnexpectedExit);
        }
        if ready_at.is_some_and(|it| it > stop.started_at() + READY_WITHIN) {
            rules.push(Rule::StillReady);
        }
        let trace = stop.describe();
        self.outcome.violations.extend(rules.into_iter().map(|rule| Violation {
            rule,
            instance: name.clone(),
            trace: trace.clone(),
        }));
        self.stops.push(stop);
        Ok(())
    }
}
