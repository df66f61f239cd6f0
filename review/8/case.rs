//! Case 8: after the store has dropped its history, instances that get its contents from peers stay at an
//! older configuration if these contents are larger than a message between instances.

#![allow(dead_code)]

#[path = "../stand_ins_2.rs"]
mod stand_ins;

use stand_ins::*;
use std::{path::Path, time::Duration};

/// Instances; three of them follow the store.
const INSTANCES: usize = 5;

/// Entries of another writer, and the bytes of each.
const FOREIGN_ENTRIES: usize = 4;
const FOREIGN_BYTES: usize = 1_048_576;

/// The operator's change is in force everywhere within this time after its acknowledgement.
const CONFIG_APPLY_MS: f64 = 2_000.0;

/// After the end of the store's disruption, machines are in touch again.
const CONTACT_MS: f64 = 3_000.0;

fn main() {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    let dir = std::env::temp_dir().join(format!("sesamelock-review-8-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    let code = run(&record, &dir, has_trouble);
    record.write(Path::new("review/8/record.txt"));
    let _ = std::fs::remove_dir_all(&dir);
    std::process::exit(code);
}

fn run(record: &Record, dir: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    store.put("op/config", &config_with_other_key(1, 600, 4_194_304));
    let worker = Worker::start(record, "i-app", "app", "v1", Work::Plain(15));
    worker.write_entry(&store);
    for index in 0..FOREIGN_ENTRIES {
        store.put(&format!("servers/foreign-{index}"), &"x".repeat(FOREIGN_BYTES));
    }
    record.note(format!("another writer has {FOREIGN_ENTRIES} entries of {FOREIGN_BYTES} bytes"));
    let mut instances: Vec<Instance> = Vec::new();
    for index in 0..INSTANCES {
        let seeds: Vec<&Instance> = instances.iter().take(3).collect();
        let instance = Instance::start(dir, &format!("edge-{index}"), store.address, &seeds);
        instances.push(instance);
    }
    if !instances.iter().all(Instance::wait_ready) {
        record.note("an instance is not ready");
        return 2;
    }
    for _ in 0..3 {
        sleep_ms(HEARTBEAT_MS);
        worker.write_entry(&store);
    }
    if has_trouble {
        store.set_mute(true);
        record.note("watches hear nothing");
    }
    sleep_ms(300);
    store.put("op/config", &config(2, 600, 4_194_304));
    let acknowledged_at = record.note("the store acknowledges version 2, which has one key less");
    sleep_ms(700);
    if has_trouble {
        store.forget_history();
        store.set_mute(false);
        record.note("the store drops its history; watches get 410");
    }
    let ended_at = record.now();
    let mut served = Vec::new();
    for round in 0..20 {
        sleep_ms(500);
        if round % 2 == 1 {
            worker.write_entry(&store);
        }
        if record.now() < (acknowledged_at + CONFIG_APPLY_MS).max(ended_at + CONTACT_MS) + 100.0 {
            continue;
        }
        for (index, instance) in instances.iter().enumerate() {
            let attempt = format!("r{round:02}i{index}");
            let bytes = request("GET", "/status/x", &attempt, 600, b"");
            let text = String::from_utf8_lossy(&bytes).replace(KEY, OTHER_KEY);
            let sent_at = record.add(format!("{attempt} sent to {} with the dropped key", instance.name));
            let answer = Client::new(instance.caller).call(text.as_bytes(), Duration::from_secs(2));
            let status = answer.map_or(0, |it| it.status());
            record.add(format!("{attempt} answered: {status}"));
            if status == 200 {
                served.push((sent_at - acknowledged_at, instance.name.clone()));
            } else if status != 401 {
                record.note(format!("{attempt} answered: {status}"));
            }
        }
    }
    let Some((last, _)) = served.last() else {
        record.note("CONFIG held");
        return 0;
    };
    let mut names: Vec<&str> = served.iter().map(|it| it.1.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    record.note(format!(
        "CONFIG is broken: {} requests with the dropped key ran, through {names:?}, the last one sent {last:.0} \
         ms after the acknowledgement; config_apply_ms is {CONFIG_APPLY_MS}",
        served.len()
    ));
    1
}
