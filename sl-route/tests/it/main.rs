//! Tests of the decision modules, individually and through the reducer.

mod activity;
mod admission;
mod budget;
mod cache;
mod connections;
mod crash_detector;
mod data_centres;
mod engine;
mod fairness;
mod fleet;
mod health;
mod limits;
mod locality;
mod notices;
mod part_crashes;
mod place;
mod request_crashes;
mod restore;
mod retry;
mod share;
mod silence;
mod split;
mod streams;
mod testbed;
mod views;
