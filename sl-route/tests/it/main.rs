//! Tests of the decision modules, individually and through the reducer.

mod activity;
mod admission;
mod budget;
mod cache;
mod connections;
mod crash_detector;
mod engine;
mod fairness;
mod fleet;
mod health;
mod limits;
mod notices;
mod part_crashes;
mod place;
mod request_crashes;
mod restore;
mod retry;
mod route_balance;
mod share;
mod silence;
mod split;
mod streams;
mod testbed;
mod views;
