//! End-to-end tests: real `sesamelock` processes with stand-ins for callers, backend servers
//! and the store.

mod broken_responses;
mod broken_streams;
mod callers;
mod crashes;
mod early_responses;
mod endless;
mod evacuation;
mod failure;
mod follower_claims;
mod interruptions;
mod large_listings;
mod late_copies;
mod late_refusals;
mod limits;
mod membership;
mod note_flood;
mod notices;
mod odd_values;
mod operators;
mod refusals;
mod rejoin;
mod responses;
mod restore;
mod shutdown;
mod silence;
mod slow_readers;
mod soak;
mod stop_series;
mod stops;
mod streams;
mod testbed;
mod unframed;
mod versions;
mod warmup;
