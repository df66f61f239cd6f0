//! An instance that starts with no memory while the platform is down.

use std::{fs, time::Duration};

use stand_ins::platform;

use crate::bed::{chat, fleet};

#[tokio::test(flavor = "multi_thread")]
async fn a_newborn_gets_configuration_and_list_from_its_peers_alone() {
    let mut fleet = fleet(3).await;
    fleet.instances[2].kill();
    let seed = &fleet.instances[0];
    let seeds = format!("[instance]\nseeds = {}@{}\n", seed.name, seed.control);
    let settings = fleet.instances[2].settings();
    let text = fs::read_to_string(settings).unwrap();
    fs::write(settings, text.replace("[instance]\n", &seeds)).unwrap();
    let fault = platform::Fault { down: true, ..Default::default() };
    fleet.platform.fault(fault).await;
    fleet.instances[2].start().unwrap();
    let ready = fleet.ready(Duration::from_secs(10)).await;
    assert!(ready.is_ok(), "{ready:?}\n{}", fleet.instances[2].log());
    let answer = chat(&fleet, 2, 4).send().await.unwrap();
    assert_eq!(answer.status(), 200);
}
