//! Tests of lent slots, alone and together with fair shares.

mod fleet;
mod lending;
mod shares;
