//! The gap in share-normalised service between backlogged teams.

/// What each team had received at one time.
pub type Sample = Vec<u64>;

/// The greatest gap since `start`, in tokens at a share of one, between any two teams.
pub fn at(start: &Sample, now: &Sample, shares: &[u32]) -> f64 {
    let received = start.iter().zip(now).zip(shares);
    let normalised = received.map(|((from, to), share)| (to - from) as f64 / f64::from(*share));
    let (least, most) =
        normalised.fold((f64::MAX, f64::MIN), |(least, most), it| (least.min(it), most.max(it)));
    most - least
}

/// The bound that is stated beforehand, from the largest cost, the slots and the exchange
/// period: two of the largest requests, all that the servers give between two exchanges,
/// and what runs at once of the largest requests by share.
pub fn bound(cost_max: u64, rate: u64, slots: u64, shares: &[u32], period_seconds: f64) -> f64 {
    let shares: u32 = shares.iter().sum();
    let between = rate as f64 * period_seconds;
    2.0 * cost_max as f64 + between + (slots * cost_max) as f64 / f64::from(shares)
}
