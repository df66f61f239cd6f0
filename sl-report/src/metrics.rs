//! Burn rates of this instance's own records, as metrics for alerts.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue},
    metrics::{family::Family, gauge::Gauge},
    registry::Registry,
};

use crate::{burn::Report, render::max_burn_rate};

/// The labels of a burn rate; the bound on series bounds their number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Labels {
    /// The team's name.
    pub team: String,
    /// The route's name.
    pub route: String,
    /// Which window.
    pub window: WindowLabel,
}

/// The window of a burn rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum WindowLabel {
    /// Five minutes.
    Short,
    /// An hour.
    Long,
}

/// The family of burn rates.
#[derive(Clone, Debug, Default)]
pub struct BurnRates {
    rates: Family<Labels, Gauge<f64, AtomicU64>>,
}

impl BurnRates {
    /// Registers the family.
    pub fn register(registry: &mut Registry) -> BurnRates {
        let rates = BurnRates::default();
        registry.register(
            "burn_rate",
            "The faster of the latency and answer burn rates; 1 uses up what the objective allows",
            rates.rates.clone(),
        );
        rates
    }

    /// Puts the rates of `report` in place of those before.
    pub fn update(&self, report: &Report) {
        self.rates.clear();
        for row in &report.rows {
            let windows = [(WindowLabel::Short, &row.short), (WindowLabel::Long, &row.long)];
            for (window, burn) in windows {
                let Some(rate) = max_burn_rate(burn) else {
                    continue;
                };
                let labels = Labels { team: row.team.clone(), route: row.route.clone(), window };
                self.rates.get_or_create(&labels).set(rate);
            }
        }
    }
}
