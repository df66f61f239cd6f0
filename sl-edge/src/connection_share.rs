//! The share of a backend server's connections that one instance may open.

/// The share of an instance with `cores`, given the cores of the `others` as far as known.
///
/// One half is divided evenly, so that a small instance gets some, and the other half in
/// proportion to cores: all callers may connect to one instance, and a larger one serves more
/// of them. An instance whose cores are unknown counts as having as many as the largest known
/// one. So the shares of a fleet add up to more than 1 only for a moment, while an instance
/// that is larger than all others starts.
pub fn connection_share(cores: f32, others: impl Iterator<Item = Option<f32>>) -> f64 {
    let others: Vec<Option<f32>> = others.collect();
    let largest = others.iter().flatten().copied().fold(cores, f32::max);
    let others_cores: f32 = others.iter().map(|it| it.unwrap_or(largest)).sum();
    let even = 1.0 / (others.len() + 1) as f64;
    let by_cores = f64::from(cores) / f64::from(cores + others_cores).max(f64::MIN_POSITIVE);
    (even + by_cores) / 2.0
}
