//! The stop of a process, with all signals to it.

use std::time::Instant;

/// What was sent to a process that stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub(crate) enum Notice {
    #[strum(serialize = "SIGTERM")]
    Term,
    #[strum(serialize = "SIGHUP")]
    Hangup,
    #[strum(serialize = "SIGKILL")]
    Kill,
    #[strum(serialize = "drain")]
    Drain,
}

/// A stop, which begins with SIGTERM or with an operator's drain.
#[derive(Clone, Debug)]
pub(crate) struct Stop {
    pub(crate) instance: usize,
    /// What was sent to the process since the stop began, and when.
    pub(crate) notices: Vec<(Notice, Instant)>,
    /// When the exit was noticed.
    pub(crate) exited_at: Instant,
}

impl Stop {
    /// When the stop began.
    pub(crate) fn started_at(&self) -> Instant {
        self.notices.first().map_or(self.exited_at, |it| it.1)
    }

    /// When the first notice of the kind was sent.
    pub(crate) fn first(&self, notice: Notice) -> Option<Instant> {
        self.notices.iter().find(|it| it.0 == notice).map(|it| it.1)
    }

    /// The moment from which times are given: the first SIGTERM, if there was one.
    pub(crate) fn origin(&self) -> Instant {
        self.first(Notice::Term).unwrap_or_else(|| self.started_at())
    }

    /// The notices and the exit, with their times.
    pub(crate) fn describe(&self) -> String {
        let ms = |at| relative_ms(self.origin(), at);
        let notices = self.notices.iter().map(|(notice, at)| format!("{notice} {}", ms(*at)));
        let notices: Vec<String> = notices.collect();
        format!("{}, exit {}", notices.join(", "), ms(self.exited_at))
    }
}

/// The time from `origin` to `at` in milliseconds, with its sign.
pub(crate) fn relative_ms(origin: Instant, at: Instant) -> String {
    match at.checked_duration_since(origin) {
        Some(after) => format!("+{}", after.as_millis()),
        None => format!("-{}", (origin - at).as_millis()),
    }
}
