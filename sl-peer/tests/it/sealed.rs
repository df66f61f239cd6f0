use proptest::{prelude::*, test_runner::RngSeed};
use sl_peer::{Counters, Sealed};

use crate::bed::{PEER, links, listen, running};

/// What a later version may send: a variant that this one does not have.
fn later() -> Sealed {
    Sealed::from(vec![120, 1, 2, 3])
}

#[tokio::test]
async fn a_message_of_a_later_version_is_dropped_alone() {
    let there = Counters::default();
    let (peer, server) = listen("secret", &there).await;
    let links = links("secret", &Counters::default());
    let known = Sealed::of(&running(7)[0]).unwrap();
    let messages = vec![later(), known, later()];
    links.deliver_sealed(PEER, server.address, messages).await.unwrap();
    assert_eq!(peer.got.lock().unwrap()[0].1, running(7));
    assert_eq!(there.read().unknown, 2);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x5ea1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_bytes_make_decoding_panic(bytes: Vec<u8>) {
        let _ = sl_step::Message::try_from(&Sealed::from(bytes));
    }
}
