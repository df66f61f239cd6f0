//! The signals that stop the daemon.

use futures::Stream;
use sl_route::shutdown::StopRequest;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::Error;

/// A signal that stops the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopSignal {
    /// SIGTERM, from a platform or a supervisor.
    Terminate,
    /// SIGINT, from a terminal.
    Interrupt,
}

/// Yields an item for each SIGTERM or SIGINT that this process receives.
///
/// # Errors
///
/// [`Error::Signals`] if the handlers cannot be installed.
pub fn signals() -> Result<impl Stream<Item = StopSignal>, Error> {
    let term = signal(SignalKind::terminate()).map_err(Error::Signals)?;
    let int = signal(SignalKind::interrupt()).map_err(Error::Signals)?;
    Ok(futures::stream::unfold((term, int), |(mut term, mut int)| async move {
        Some((next(&mut term, &mut int).await, (term, int)))
    }))
}

async fn next(term: &mut Signal, int: &mut Signal) -> StopSignal {
    tokio::select! {
        _ = term.recv() => StopSignal::Terminate,
        _ = int.recv() => StopSignal::Interrupt,
    }
}

impl From<StopSignal> for StopRequest {
    fn from(signal: StopSignal) -> StopRequest {
        match signal {
            StopSignal::Terminate => StopRequest::Terminate,
            StopSignal::Interrupt => StopRequest::Interrupt,
        }
    }
}
