//! Reloads the settings while the daemon runs.

use std::rc::Rc;

use sl_base::Millis;
use sl_config::Settings;
use sl_route::Event;
use slog::{info, warn};
use tokio::time::timeout;

use crate::{core::Core, run};

/// How often the settings are read again without a SIGHUP.
const POLL_INTERVAL: Millis = Millis(2_000);

/// Reads the settings again at every SIGHUP and every [`POLL_INTERVAL`], and applies changed
/// limits, regions and periods. Changes of other settings take effect at the next start.
pub(crate) async fn watch(
    core: Rc<Core>,
    mut settings: Settings,
    mut hangups: run::HangupSignals,
    reread: impl Fn() -> Result<Settings, String>,
) {
    loop {
        let has_signal = timeout(POLL_INTERVAL.into(), hangups.recv()).await.is_ok();
        match reread() {
            Ok(read) if read == settings => {
                if has_signal {
                    info!(core.log, "settings unchanged");
                }
            }
            Ok(read) => {
                let needs_restart = read.listen != settings.listen
                    || read.name != settings.name
                    || read.platform != settings.platform
                    || read.log != settings.log;
                info!(core.log, "settings changed";
                    "signal" => has_signal, "part_at_next_start" => needs_restart);
                let limits = run::limits(&read);
                core.step(Event::Limits(limits));
                core.shutdown.drain_timeout.set(read.periods.drain_timeout);
                core.step(Event::Regions(run::regions(&read)));
                settings = read;
            }
            Err(e) => warn!(core.log, "invalid settings ignored, keeping the current ones";
                "reason" => e, "signal" => has_signal),
        }
    }
}
