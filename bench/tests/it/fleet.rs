use std::{cell::RefCell, fmt, time::Duration};

/// A log that is displayed as it is at that moment.
struct Log(RefCell<String>);

impl fmt::Display for Log {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.borrow())
    }
}

// The message was built before the wait, so the log of an instance that never became ready was
// printed as it was at the start of the instance, empty.
#[tokio::test(start_paused = true)]
#[should_panic(expected = "cannot listen")]
async fn the_message_of_a_condition_that_is_not_met_is_built_after_the_wait() {
    let log = Log(RefCell::default());
    let write_log = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        log.0.borrow_mut().push_str("cannot listen");
    };
    let wait = bench::eventually(&log, async || false);
    tokio::join!(write_log, wait);
}
