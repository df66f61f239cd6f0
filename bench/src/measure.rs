//! The measurement of the three measures: the fairness gap between teams, the utilisation
//! of backend servers and the control traffic, on real daemons under the same load.

pub mod gap;
pub mod load;
pub mod process;
pub mod run;
pub mod scrape;

pub use run::{Figures, Options, run};
