//! Tests of the decision modules, individually and through the reducer.

mod bed;
mod budget;
mod cache;
mod engine;
mod health;
mod place;
mod retry;
mod share;
mod strikes;
mod views;
