//! The log's drain: lines for programs or for people, written by a thread of its own.

use sl_config::settings::{Log, LogFormat, LogLevel};
use slog::{Drain, Level, LevelFilter, Logger, o};

/// A logger as settings want it, to the standard error stream.
pub(crate) fn logger(log: Log, instance: &str) -> Logger {
    let context = o!("instance" => instance.to_owned());
    match log.format {
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr()).fuse();
            Logger::root(filtered(drain, log.level), context)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            Logger::root(filtered(drain, log.level), context)
        }
    }
}

fn filtered<D>(drain: D, level: LogLevel) -> slog::Fuse<LevelFilter<slog::Fuse<slog_async::Async>>>
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain = slog_async::Async::new(drain).chan_size(LINES_AHEAD).build().fuse();
    LevelFilter::new(drain, least(level)).fuse()
}

fn least(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}

/// Lines that may wait to be written; more are dropped and counted in the log itself.
const LINES_AHEAD: usize = 1_024;
