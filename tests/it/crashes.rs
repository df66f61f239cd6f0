//! Requests under which engines crash stop reaching engines, at every instance: those that share a
//! prompt part, and one that comes again whole.

use std::{path::Path, time::Duration};

use bench::{Fleet, fleet::Options};
use rstest::rstest;
use stand_ins::{
    Call, Response,
    server::{CRASH_TIME, CRASHING_PART, Fault},
};

use crate::testbed::model_call;

const INSTANCES: usize = 3;

/// How long instances may take to learn of a crash.
const CONTACT: Duration = Duration::from_secs(3);

/// The crashes after which a part is barred.
const CRASHES: usize = 3;

async fn start_fleet() -> Fleet {
    let binary = Path::new(env!("CARGO_BIN_EXE_sesamelock")).to_owned();
    let options = Options { binary, instances: INSTANCES, apps: 1, engines: 4 };
    let fleet = Fleet::start(options).await.unwrap();
    for engine in fleet.engines() {
        engine.set_fault(Fault::CrashesUnderPart);
    }
    fleet
}

/// A request with the bad part, different from all others in its last part and its body.
fn bad_call(number: usize) -> Call {
    let parts = format!("a1:1000,{CRASHING_PART}:100,c{number}:300");
    let body = format!("bad {number}").into();
    let prompt = Some((1_400, 60, parts));
    Call { prompt, body, ..model_call("/chat/7", &format!("bad-{number}")) }
}

fn sound_call(number: usize) -> Call {
    let prompt = Some((1_400, 60, format!("a1:1000,d{number}:400")));
    Call { prompt, ..model_call("/chat/7", &format!("sound-{number}")) }
}

/// The bad request that comes again whole. The part under which engines crash is its own, and the
/// one before it belongs to sound requests as well.
fn repeated_call(number: usize) -> Call {
    let prompt = Some((1_400, 60, format!("a1:1000,{CRASHING_PART}:400")));
    let body = "bad".into();
    Call { prompt, body, ..model_call("/chat/7", &format!("repeated-{number}")) }
}

async fn send(fleet: &Fleet, instance: usize, call: &Call) -> Response {
    let mut caller = fleet.caller(instance).await.unwrap();
    caller.call(call).await.unwrap()
}

/// Lets engines that have crashed come back as other runs.
async fn restart_engines(fleet: &Fleet) {
    tokio::time::sleep(CRASH_TIME).await;
    for engine in fleet.engines() {
        engine.register(&fleet.store, "ready");
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
}

async fn assert_barred(fleet: &Fleet, instance: usize, call: &Call) {
    let response = send(fleet, instance, call).await;
    let code = response.header("x-sesamelock-code");
    assert_eq!((response.status(), code), (502, Some("1018")), "at instance {instance}");
}

async fn assert_served(fleet: &Fleet, instance: usize, number: usize) {
    let response = send(fleet, instance, &sound_call(number)).await;
    assert_eq!((response.status(), response.is_complete), (200, true), "at instance {instance}");
}

// Guards against requests that share one bad part, and are otherwise all different, crashing the
// engines one after the other, and against a bar that only the instances know that saw crashes.
#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_part_that_crashes_engines_is_barred_at_every_instance() {
    let mut fleet = start_fleet().await;
    for number in 0..CRASHES {
        assert_served(&fleet, number % INSTANCES, number).await;
        let response = send(&fleet, number % INSTANCES, &bad_call(number)).await;
        assert!(!response.is_complete || response.status() == 502, "{}", response.text());
        restart_engines(&fleet).await;
    }
    tokio::time::sleep(CONTACT).await;
    for instance in 0..INSTANCES {
        assert_barred(&fleet, instance, &bad_call(10 + instance)).await;
        assert_served(&fleet, instance, 10 + instance).await;
    }
    fleet.instances[0].kill();
    fleet.instances[0].start().unwrap();
    fleet.wait_until_ready().await;
    tokio::time::sleep(CONTACT).await;
    assert_barred(&fleet, 0, &bad_call(20)).await;
    assert_served(&fleet, 0, 20).await;
    assert_eq!(fleet.engines().map(|it| it.crashes()).sum::<u64>(), CRASHES as u64);
}

// Guards against a request that comes again whole, to any instance, and crashes the engines one after
// the other within their responses.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_engines_is_barred_at_every_instance() {
    let fleet = start_fleet().await;
    for number in 0..CRASHES {
        assert_served(&fleet, number % INSTANCES, number).await;
        let response = send(&fleet, number % INSTANCES, &repeated_call(number)).await;
        assert!(!response.is_complete || response.status() == 502, "{}", response.text());
        restart_engines(&fleet).await;
    }
    tokio::time::sleep(CONTACT).await;
    for instance in 0..INSTANCES {
        assert_barred(&fleet, instance, &repeated_call(10 + instance)).await;
        assert_served(&fleet, instance, 10 + instance).await;
    }
    assert_eq!(fleet.engines().map(|it| it.crashes()).sum::<u64>(), CRASHES as u64);
}

async fn restart_instances(fleet: &mut Fleet) {
    fleet.instances.iter_mut().for_each(|it| it.kill());
    for instance in &mut fleet.instances {
        instance.start().unwrap();
    }
    fleet.wait_until_ready().await;
}

/// Sends requests under which engines crash, each to another instance, until there were `crashes`.
async fn crash(fleet: &Fleet, bad: fn(usize) -> Call, numbers: std::ops::Range<usize>) {
    for number in numbers {
        assert_served(fleet, number % INSTANCES, number).await;
        let response = send(fleet, number % INSTANCES, &bad(number)).await;
        assert!(!response.is_complete || response.status() == 502, "{}", response.text());
        restart_engines(fleet).await;
    }
}

// Guards against a fleet that forgets what crashes engines when all its instances are killed, and learns it
// anew by three crashes each time.
#[rstest]
#[case::request(repeated_call)]
#[case::part(bad_call)]
#[tokio::test(flavor = "multi_thread")]
async fn what_crashes_engines_stays_barred_after_all_instances_were_killed(
    #[case] bad: fn(usize) -> Call,
) {
    let mut fleet = start_fleet().await;
    crash(&fleet, bad, 0..CRASHES).await;
    tokio::time::sleep(CONTACT).await;
    for start in 1..3 {
        restart_instances(&mut fleet).await;
        tokio::time::sleep(CONTACT).await;
        for instance in 0..INSTANCES {
            let number = 10 * start + instance;
            assert_barred(&fleet, instance, &bad(number)).await;
            assert_served(&fleet, instance, number).await;
        }
    }
    assert_eq!(fleet.engines().map(|it| it.crashes()).sum::<u64>(), CRASHES as u64);
}

// Guards against a fleet that counts from zero after each start, so that what crashes engines is never barred
// where starts come often.
#[tokio::test(flavor = "multi_thread")]
async fn crashes_before_a_start_of_all_instances_count_after_it() {
    let mut fleet = start_fleet().await;
    crash(&fleet, repeated_call, 0..CRASHES - 1).await;
    tokio::time::sleep(CONTACT).await;
    restart_instances(&mut fleet).await;
    tokio::time::sleep(CONTACT).await;
    crash(&fleet, repeated_call, CRASHES - 1..CRASHES).await;
    tokio::time::sleep(CONTACT).await;
    assert_barred(&fleet, 0, &repeated_call(10)).await;
    assert_eq!(fleet.engines().map(|it| it.crashes()).sum::<u64>(), CRASHES as u64);
}
