//! A planned stop: the balancer and kept connections get time to go elsewhere, and what is
//! under way is finished.

use std::rc::Rc;

use sl_base::Millis;
use slog::info;
use tokio::time::sleep;

use crate::core::{Core, ShutdownPhase};

/// The balancer needs this long to see that the instance is not ready.
const BALANCER_DELAY: Millis = Millis(2_600);

/// How long a request may be on its way to a connection that is being ended.
const IN_TRANSIT_DELAY: Millis = Millis(100);

/// How long the last answers take to leave, and requests on their way to be refused.
const FINAL_RESPONSES_DELAY: Millis = Millis(150);

/// How often it is looked whether anything is still under way.
const POLL_INTERVAL: Millis = Millis(20);

/// Ends the daemon's work; everything has ended, or been cut, `within` from now.
pub(crate) async fn shut_down(core: Rc<Core>, within: Millis) {
    let started_at = core.now();
    let deadline = started_at.after(within);
    info!(core.log, "planned stop begins"; "within_ms" => within.0, "held" => held(&core));
    core.set_phase(ShutdownPhase::Stopping);
    sleep(BALANCER_DELAY.into()).await;
    core.set_phase(ShutdownPhase::RefusingStreams);
    // A request that was just sent on a connection that was just ended gets an answer.
    sleep(IN_TRANSIT_DELAY.into()).await;
    while held(&core) > 0 && !deadline.is_due(core.now()) {
        sleep(POLL_INTERVAL.into()).await;
    }
    core.set_phase(ShutdownPhase::Terminating);
    // What was read by then is answered.
    sleep(FINAL_RESPONSES_DELAY.into()).await;
    let took_ms = core.now().micros_since(started_at) / 1_000;
    info!(core.log, "stopped"; "cut" => held(&core), "took_ms" => took_ms);
}

fn held(core: &Core) -> usize {
    core.with_state(|it| it.in_flight())
}
