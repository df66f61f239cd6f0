//! Service-level objectives, histograms and burn rates.
