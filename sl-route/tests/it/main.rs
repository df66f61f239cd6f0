//! Tests of the decision modules, individually and through the reducer.

mod activity;
mod admission;
mod budget;
mod cache;
mod connections;
mod engine;
mod fairness;
mod health;
mod notices;
mod place;
mod restore;
mod retry;
mod share;
mod split;
mod strikes;
mod testbed;
mod views;
