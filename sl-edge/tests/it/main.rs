//! Tests of the adapters' parts that need no network.

mod arrivals;
mod backoff;
mod connection_share;
mod connection_tracker;
mod detail;
mod event_sequence;
mod events;
mod freshness;
mod heartbeat;
mod lag;
mod log_buffer;
mod note_budget;
mod outage;
mod overload;
mod record_schedule;
mod response_memory;
mod roles;
mod sent_requests;
mod takeover;
mod turns;
