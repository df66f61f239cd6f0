//! The part of a backend server's connections that one instance may have.

/// The part of the instance with `cores`, among `others` whose cores are known or not.
///
/// Half is dealt evenly, so that a small instance is not without, and half by size: callers
/// may all come to one instance, and a large one carries more of them. Whoever was not
/// heard yet counts as the largest one known, so that the parts make more than the whole
/// for a moment at most, where a larger one starts.
pub fn connection_share(cores: f32, others: impl Iterator<Item = Option<f32>>) -> f64 {
    let others: Vec<Option<f32>> = others.collect();
    let largest = others.iter().flatten().copied().fold(cores, f32::max);
    let others_cores: f32 = others.iter().map(|it| it.unwrap_or(largest)).sum();
    let even = 1.0 / (others.len() + 1) as f64;
    let by_cores = f64::from(cores) / f64::from(cores + others_cores).max(f64::MIN_POSITIVE);
    (even + by_cores) / 2.0
}
