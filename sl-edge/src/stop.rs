//! A planned stop: the balancer and kept connections get time to go elsewhere, and what is
//! under way is finished.

use std::rc::Rc;

use sl_base::Millis;
use slog::info;
use tokio::time::sleep;

use crate::core::{Core, Phase};

/// The balancer needs this long to see that the instance is not ready.
const BALANCER_WITHIN: Millis = Millis(2_600);

/// How long a request may be on its way to a connection that is being ended.
const CROSSING_WITHIN: Millis = Millis(100);

/// How long the last answers take to leave, and requests on their way to be refused.
const LAST_ANSWERS_WITHIN: Millis = Millis(150);

/// How often it is looked whether anything is still under way.
const LOOK_EVERY: Millis = Millis(20);

/// Ends the daemon's work; everything has ended, or been cut, `within` from now.
pub(crate) async fn see_through(core: Rc<Core>, within: Millis) {
    let began = core.now();
    let cut_by = began.after(within);
    info!(core.log, "planned stop begins"; "within_ms" => within.0, "held" => held(&core));
    core.set_phase(Phase::Stopping);
    sleep(BALANCER_WITHIN.into()).await;
    core.set_phase(Phase::Closing);
    // A request that was just sent on a connection that was just ended gets an answer.
    sleep(CROSSING_WITHIN.into()).await;
    while held(&core) > 0 && !cut_by.is_due(core.now()) {
        sleep(LOOK_EVERY.into()).await;
    }
    core.set_phase(Phase::Ended);
    // What was read by then is answered.
    sleep(LAST_ANSWERS_WITHIN.into()).await;
    let took_ms = core.now().micros_since(began) / 1_000;
    info!(core.log, "stopped"; "cut" => held(&core), "took_ms" => took_ms);
}

fn held(core: &Core) -> usize {
    core.with(|it| it.in_flight())
}
