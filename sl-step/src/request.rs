//! Requests under way.

/// Every request between its arrival and its final answer.
#[derive(Debug, Default)]
pub(crate) struct Requests {}
