//! Settings that change while the daemon runs.

use std::rc::Rc;

use sl_base::Millis;
use sl_config::Settings;
use sl_route::Event;
use slog::{info, warn};
use tokio::time::timeout;

use crate::{core::Core, run};

/// How often the file is looked at without a signal.
const LOOK_EVERY: Millis = Millis(2_000);

/// Takes over what changes in the settings; ports and names stay until the next start.
pub(crate) async fn watch(
    core: Rc<Core>,
    mut settings: Settings,
    mut hangups: run::Hangups,
    reread: impl Fn() -> Result<Settings, String>,
) {
    loop {
        let told = timeout(LOOK_EVERY.into(), hangups.recv()).await.is_ok();
        match reread() {
            Ok(read) if read == settings => {
                if told {
                    info!(core.log, "settings unchanged");
                }
            }
            Ok(read) => {
                let needs_restart = read.listen != settings.listen
                    || read.name != settings.name
                    || read.platform != settings.platform
                    || read.log != settings.log;
                info!(core.log, "settings changed";
                    "signal" => told, "part_at_next_start" => needs_restart);
                let limits = run::limits(&read);
                core.step(Event::Limits(limits));
                settings = read;
            }
            Err(e) => warn!(core.log, "settings not understood, the old ones stay";
                "reason" => e, "signal" => told),
        }
    }
}
