//! Burn rates of this instance's own records, exported as metrics for alerts.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue},
    metrics::{family::Family, gauge::Gauge},
    registry::Registry,
};

use crate::{burn::Report, render::max_burn_rate};

/// Labels of a burn rate. The recorder's limit on series bounds the number of combinations.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Labels {
    /// Name of the team.
    pub team: String,
    /// Name of the route.
    pub route: String,
    /// The window over which the rate is computed.
    pub window: WindowLabel,
}

/// Window of a burn rate. The names of the variants are values of the label `window`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum WindowLabel {
    /// 5 minutes.
    Short,
    /// 1 hour.
    Long,
}

/// Gauges of the burn rates, by team, route and window.
#[derive(Clone, Debug, Default)]
pub struct BurnRates {
    rates: Family<Labels, Gauge<f64, AtomicU64>>,
}

impl BurnRates {
    /// Registers the gauges in `registry`.
    pub fn register(registry: &mut Registry) -> BurnRates {
        let rates = BurnRates::default();
        registry.register(
            "burn_rate",
            "The faster of the latency and answer burn rates; 1 uses up what the objective allows",
            rates.rates.clone(),
        );
        rates
    }

    /// Replaces all rates by those of `report`.
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
