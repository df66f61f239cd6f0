//! Shares across the fleet: service counters, queues and the choice of the next team.
