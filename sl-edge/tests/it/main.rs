//! Tests of the adapters' parts that need no network.

mod arrivals;
mod backoff;
mod body_memory;
mod connection_share;
mod connection_tracker;
mod detail;
mod event_sequence;
mod events;
mod heartbeat;
mod log_buffer;
mod overload;
mod record_schedule;
mod roles;
mod sent_requests;
