//! What an instance accepts while it stops, it answers before it exits; the rest it refuses as not
//! run.

mod disruptions;
mod ends;
mod exit;
mod incomplete;
mod resumed;
mod review;
mod starts;
mod unread;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bench::{Fleet, eventually};
use nix::sys::signal::Signal;
use rstest::rstest;
use stand_ins::{Call, Caller, Response, server::Fault};
use tokio::{task::JoinHandle, time::sleep};

use crate::testbed::{call, drain, fleet_stopping_within, model_call};

/// Time from SIGTERM to the last response.
const STOP_WITHIN: Duration = Duration::from_millis(4_000);

/// Time from the last response to the exit.
const EXIT_DELAY_MAX: Duration = Duration::from_millis(600);

/// Requests that were sent this long before the time of the last response are answered or refused.
/// Later ones may come when the port is closed already.
const IN_TRANSIT_MAX: Duration = Duration::from_millis(200);

/// Time limit of the requests of a test, as of the routes.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// Shorter time limit that some callers set.
const SHORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between two new connections.
const CONNECT_INTERVAL: Duration = Duration::from_millis(80);

/// A request and what its caller saw.
#[derive(Debug)]
struct Sent {
    attempt_id: String,
    /// Time from SIGTERM to the last byte of the request.
    after: Duration,
    /// Time from the last byte of the request to the response, or to the end of the connection.
    took: Duration,
    response: std::io::Result<Response>,
}

impl Sent {
    fn is_answered(&self) -> bool {
        self.response.as_ref().is_ok_and(|it| it.is_complete)
    }

    /// Whether the caller was told that no server ran the request.
    fn is_not_run(&self) -> bool {
        let outcome = |it: &Response| it.header("x-sesamelock-outcome") == Some("not-run");
        self.response.as_ref().is_ok_and(outcome)
    }

    /// Status and result code; the latter is empty for the response of a server.
    fn status_and_code(&self) -> Option<(u16, &str)> {
        let response = self.response.as_ref().ok()?;
        Some((response.status(), response.header("x-sesamelock-code").unwrap_or_default()))
    }

    /// Whether the request was in transit when the instance closed the connection as idle: no
    /// server ran it, and the caller saw the close at once.
    fn crossed_close(&self, fleet: &Fleet) -> bool {
        let is_executed = fleet.execution_count(&self.attempt_id) > 0;
        self.response.is_err() && !is_executed && self.took < IN_TRANSIT_MAX
    }

    /// How the request was treated against the rules, if it was.
    fn violation(&self, fleet: &Fleet) -> Option<String> {
        let is_executed = fleet.execution_count(&self.attempt_id) > 0;
        let fault = match (is_executed, self.is_answered()) {
            (true, false) => "executed, and no complete response",
            (true, true) if self.is_not_run() => "executed, and said not to have run",
            (false, false) if self.after + IN_TRANSIT_MAX < STOP_WITHIN => "no response",
            _ => return None,
        };
        let (id, after) = (&self.attempt_id, self.after.as_millis());
        Some(format!("{id}, sent after {after} ms: {fault}"))
    }
}

/// The requests that were treated against the rules.
fn violations(fleet: &Fleet, sent: &[Sent]) -> Vec<String> {
    sent.iter().filter_map(|it| it.violation(fleet)).collect()
}

/// Starts a fleet with a stream in flight that does not end, so that a shutdown takes its whole
/// time.
async fn fleet_with_endless_stream() -> (Fleet, Caller) {
    let fleet = fleet_stopping_within(STOP_WITHIN).await;
    fleet.engines().for_each(|it| it.set_fault(Fault::Hangs));
    let mut caller = fleet.caller(0).await.unwrap();
    caller.send(&model_call("/chat/7", "endless").to_bytes()).await.unwrap();
    eventually("the stream is executed", async || fleet.execution_count("endless") > 0).await;
    (fleet, caller)
}

fn late_call(method: &'static str, target: &str, attempt_id: &str) -> Call {
    Call { timeout: TIMEOUT, ..call(method, target, attempt_id) }
}

/// The request with `number`: idempotent or not, with a time limit as long as the route's or
/// shorter.
fn numbered_call(kind: &str, number: usize) -> Call {
    let (method, target) = [("POST", "/book/7"), ("GET", "/status/7")][number % 2];
    let timeout = [TIMEOUT, TIMEOUT, SHORT_TIMEOUT][number % 3];
    Call { timeout, ..call(method, target, &format!("{kind}-{number}")) }
}

/// Sends a request on `caller`'s connection.
async fn send(mut caller: Caller, call: Call, stopped_at: Instant) -> Sent {
    let after = stopped_at.elapsed();
    let response = caller.call(&call).await;
    let took = stopped_at.elapsed() - after;
    Sent { attempt_id: call.attempt_id, after, took, response }
}

/// Sends a request on a new connection every [`CONNECT_INTERVAL`] until connecting fails.
async fn send_on_new_connections(address: SocketAddr, stopped_at: Instant) -> Vec<Sent> {
    let mut sending: Vec<JoinHandle<Sent>> = Vec::new();
    while let Ok(caller) = Caller::connect(address).await {
        let call = numbered_call("new", sending.len());
        sending.push(tokio::spawn(send(caller, call, stopped_at)));
        sleep(CONNECT_INTERVAL).await;
    }
    all(sending).await
}

/// Sends the first request on each of `callers`' connections, one every [`CONNECT_INTERVAL`].
async fn send_on(kind: &str, callers: Vec<Caller>, stopped_at: Instant) -> Vec<Sent> {
    let mut sending: Vec<JoinHandle<Sent>> = Vec::new();
    for (number, mut caller) in callers.into_iter().enumerate() {
        if caller.is_idle() {
            let call = numbered_call(kind, number);
            sending.push(tokio::spawn(send(caller, call, stopped_at)));
        }
        sleep(CONNECT_INTERVAL).await;
    }
    all(sending).await
}

async fn all(sending: Vec<JoinHandle<Sent>>) -> Vec<Sent> {
    futures::future::join_all(sending).await.into_iter().map(Result::unwrap).collect()
}

/// Connections that are open for long enough to send on one every [`CONNECT_INTERVAL`].
async fn open_connections(fleet: &Fleet) -> Vec<Caller> {
    let count = STOP_WITHIN.as_millis() / CONNECT_INTERVAL.as_millis();
    let connecting = (0..count).map(|_| fleet.caller(0));
    futures::future::try_join_all(connecting).await.unwrap()
}

/// Sends SIGTERM.
fn stop(fleet: &Fleet) -> Instant {
    fleet.instances[0].signal(Signal::SIGTERM);
    Instant::now()
}

/// Waits until `after` has passed since SIGTERM.
async fn until(stopped_at: Instant, after: Duration) {
    sleep(after.saturating_sub(stopped_at.elapsed())).await;
}

/// Time from SIGTERM to the moment from which the time limit of a request is beyond the last
/// response.
const LATE: Duration = Duration::from_millis(3_100);

/// Makes the plain servers respond late.
fn make_slow(fleet: &Fleet) {
    fleet.apps().for_each(|it| it.set_fault(Fault::StallsBeforeResponse));
}

/// Makes the plain servers respond never.
fn make_silent(fleet: &Fleet) {
    fleet.apps().for_each(|it| it.set_fault(Fault::Hangs));
}

/// Makes one of the plain servers respond never.
fn make_one_silent(fleet: &Fleet) {
    fleet.apps().take(1).for_each(|it| it.set_fault(Fault::Hangs));
}

// Guards against requests that are accepted until shortly before the exit, whatever their time
// limit, and whose server responds when the process has exited.
#[rstest]
#[case::of_slow_servers(make_slow, Duration::ZERO)]
#[case::of_a_silent_server(make_one_silent, Duration::ZERO)]
#[case::of_servers_that_fall_silent(make_silent, LATE)]
#[tokio::test(flavor = "multi_thread")]
async fn requests_on_new_connections_are_answered_or_not_run(
    #[case] fault: fn(&Fleet),
    #[case] after: Duration,
) {
    let (fleet, _streaming) = fleet_with_endless_stream().await;
    let stopped_at = stop(&fleet);
    let setting_fault = async {
        until(stopped_at, after).await;
        fault(&fleet);
    };
    let sending = send_on_new_connections(fleet.instances[0].caller, stopped_at);
    let (sent, ()) = tokio::join!(sending, setting_fault);
    assert!(sent.len() > 30, "{}", sent.len());
    assert_eq!(violations(&fleet, &sent), Vec::<String>::new());
}

// The same for connections that were opened before SIGTERM, which stay open until their first
// request.
#[rstest]
#[case::of_slow_servers(make_slow, Duration::ZERO)]
#[case::of_servers_that_fall_silent(make_silent, LATE)]
#[tokio::test(flavor = "multi_thread")]
async fn first_requests_of_open_connections_are_answered_or_not_run(
    #[case] fault: fn(&Fleet),
    #[case] after: Duration,
) {
    let (fleet, _streaming) = fleet_with_endless_stream().await;
    let callers = open_connections(&fleet).await;
    let stopped_at = stop(&fleet);
    let setting_fault = async {
        until(stopped_at, after).await;
        fault(&fleet);
    };
    let (sent, ()) = tokio::join!(send_on("first", callers, stopped_at), setting_fault);
    assert!(sent.len() > 30, "{}", sent.len());
    assert_eq!(violations(&fleet, &sent), Vec::<String>::new());
}

// Guards against the same on connections that have carried a request, until they are closed.
#[tokio::test(flavor = "multi_thread")]
async fn requests_on_kept_connections_are_answered_or_not_run() {
    let (fleet, _streaming) = fleet_with_endless_stream().await;
    let mut callers = open_connections(&fleet).await;
    for (number, caller) in callers.iter_mut().enumerate() {
        let before = call("GET", "/status/7", &format!("before-{number}"));
        assert_eq!(caller.call(&before).await.unwrap().status(), 200);
    }
    make_slow(&fleet);
    let mut sent = send_on("kept", callers, stop(&fleet)).await;
    assert!(sent.len() > 20, "{}", sent.len());
    // All idle connections are closed at one moment, so one request at most crosses it.
    let is_crossing = |it: &Sent| it.crossed_close(&fleet);
    assert!(sent.iter().filter(|it| is_crossing(it)).count() <= 1, "{sent:?}");
    sent.retain(|it| !is_crossing(it));
    assert_eq!(violations(&fleet, &sent), Vec::<String>::new());
}

// Guards against a request that is accepted though its time limit ends after the exit, and against
// one that is refused though its own time limit ends before.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_refused_at_once_if_its_time_limit_ends_after_the_last_response() {
    let (fleet, _streaming) = fleet_with_endless_stream().await;
    let stopped_at = stop(&fleet);
    until(stopped_at, STOP_WITHIN - Duration::from_millis(800)).await;
    let short = Call { timeout: SHORT_TIMEOUT, ..late_call("POST", "/book/7", "short") };
    let short = send(fleet.caller(0).await.unwrap(), short, stopped_at).await;
    assert_eq!(short.status_and_code(), Some((200, "")));
    let long = late_call("POST", "/book/7", "long");
    let long = send(fleet.caller(0).await.unwrap(), long, stopped_at).await;
    assert_eq!(long.status_and_code(), Some((503, "1014")));
    let response = long.response.unwrap();
    assert_eq!(response.header("connection"), Some("close"));
    assert!(response.header("retry-after").is_some());
    assert!(response.time_to_first_byte < Duration::from_millis(100));
    assert_eq!(fleet.execution_count("long"), 0);
}

// Guards against a connection that is closed without a response because the process exits.
#[rstest]
#[case::stream("/chat/7")]
#[case::resumable_stream("/sheet/7")]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_has_not_begun_at_the_exit_gets_a_response(#[case] target: &str) {
    let fleet = fleet_stopping_within(STOP_WITHIN).await;
    fleet.engines().for_each(|it| it.set_fault(Fault::Hangs));
    let mut caller = fleet.caller(0).await.unwrap();
    caller.send(&model_call(target, "endless").to_bytes()).await.unwrap();
    eventually("the stream is executed", async || fleet.execution_count("endless") > 0).await;
    let stopped_at = stop(&fleet);
    let response = caller.read_response("POST").await;
    let (after, took) = (Duration::ZERO, stopped_at.elapsed());
    let sent = Sent { attempt_id: "endless".to_owned(), after, took, response };
    assert_eq!(violations(&fleet, &[sent]), Vec::<String>::new());
    assert!(stopped_at.elapsed() < STOP_WITHIN + IN_TRANSIT_MAX, "{:?}", stopped_at.elapsed());
}

/// Stops the instance by `signals`, sent while a request is in flight that takes 0.7 s, and
/// returns the response to the request.
async fn response_beside(signals: &[Signal]) -> Sent {
    let mut fleet = fleet_stopping_within(STOP_WITHIN).await;
    make_slow(&fleet);
    let stopped_at = stop(&fleet);
    sleep(Duration::from_millis(300)).await;
    let caller = fleet.caller(0).await.unwrap();
    let sending = tokio::spawn(send(caller, late_call("POST", "/book/7", "beside"), stopped_at));
    eventually("the request is executed", async || fleet.execution_count("beside") > 0).await;
    for signal in signals {
        fleet.instances[0].signal(*signal);
        sleep(Duration::from_millis(100)).await;
    }
    let sent = sending.await.unwrap();
    let exit_status = fleet.instances[0].wait_for_exit(STOP_WITHIN + EXIT_DELAY_MAX).await.unwrap();
    assert!(exit_status.success(), "{exit_status:?}");
    sent
}

// Guards against a shutdown that a further SIGTERM aborts, with all requests in flight: the
// platform sends signals in series, and grants each process its time.
#[rstest]
#[case::once(&[Signal::SIGTERM])]
#[case::twice(&[Signal::SIGTERM, Signal::SIGTERM])]
#[case::with_a_reload(&[Signal::SIGHUP, Signal::SIGTERM, Signal::SIGHUP])]
#[case::only_a_reload(&[Signal::SIGHUP, Signal::SIGHUP])]
#[tokio::test(flavor = "multi_thread")]
async fn signals_during_a_shutdown_cut_off_no_request(#[case] signals: &[Signal]) {
    let sent = response_beside(signals).await;
    assert_eq!(sent.status_and_code(), Some((200, "")), "{sent:?}");
}

// Guards against a further SIGTERM that begins the time of the shutdown anew, or shortens it.
#[tokio::test(flavor = "multi_thread")]
async fn a_further_sigterm_does_not_change_the_time_of_the_exit() {
    let (mut fleet, _streaming) = fleet_with_endless_stream().await;
    let stopped_at = stop(&fleet);
    for _ in 0..3 {
        sleep(Duration::from_millis(700)).await;
        stop(&fleet);
    }
    assert_exits_after(&mut fleet, stopped_at, STOP_WITHIN).await;
}

// Guards against a terminal on which an operator can't end the process.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_sigint_ends_the_process_at_once() {
    let (mut fleet, _streaming) = fleet_with_endless_stream().await;
    fleet.instances[0].signal(Signal::SIGINT);
    sleep(Duration::from_millis(300)).await;
    assert!(fleet.instances[0].is_running());
    fleet.instances[0].signal(Signal::SIGINT);
    let exit_status = fleet.instances[0].wait_for_exit(Duration::from_secs(2)).await.unwrap();
    assert!(exit_status.success());
}

/// Asserts that the first instance exits in order, `expected` after SIGTERM.
async fn assert_exits_after(fleet: &mut Fleet, stopped_at: Instant, expected: Duration) {
    let exit_status = fleet.instances[0].wait_for_exit(Duration::from_secs(20)).await.unwrap();
    let after = stopped_at.elapsed();
    assert!(exit_status.success());
    assert!(after + IN_TRANSIT_MAX > expected, "exited early, {after:?} after SIGTERM");
    assert!(after < expected + EXIT_DELAY_MAX, "exited late, {after:?} after SIGTERM");
}

/// Much longer than the setting.
const LONG_DRAIN: Duration = Duration::from_secs(60);

// Guards against a drain request that keeps the process beyond what the platform grants it after
// SIGTERM.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_after_a_sigterm_does_not_lengthen_the_shutdown() {
    let (mut fleet, _streaming) = fleet_with_endless_stream().await;
    let stopped_at = stop(&fleet);
    sleep(Duration::from_millis(300)).await;
    drain(&fleet, LONG_DRAIN).await;
    assert_exits_after(&mut fleet, stopped_at, STOP_WITHIN).await;
}

// Guards against a drain that SIGTERM aborts, with all requests in flight, or that takes longer
// than the platform grants after SIGTERM.
#[tokio::test(flavor = "multi_thread")]
async fn a_sigterm_during_a_longer_drain_leaves_the_time_of_a_shutdown() {
    let (mut fleet, _streaming) = fleet_with_endless_stream().await;
    drain(&fleet, LONG_DRAIN).await;
    sleep(Duration::from_millis(300)).await;
    make_slow(&fleet);
    let caller = fleet.caller(0).await.unwrap();
    let book = late_call("POST", "/book/7", "beside");
    let sending = tokio::spawn(send(caller, book, Instant::now()));
    eventually("the request is executed", async || fleet.execution_count("beside") > 0).await;
    let stopped_at = stop(&fleet);
    let sent = sending.await.unwrap();
    assert_eq!(sent.status_and_code(), Some((200, "")), "{sent:?}");
    assert_exits_after(&mut fleet, stopped_at, STOP_WITHIN).await;
}
