//! Rendezvous (highest random weight) hashing: assigns a role to one of the members that an
//! instance currently sees. Instances with different views may disagree on the owner.

use std::hash::Hash;

/// The weight of `member` for `key`; the member with the greatest weight owns the role.
pub fn weight(key: u64, member: u64) -> u64 {
    // The finaliser of SplitMix64 (Steele, Lea, Flood 2014) over both words.
    let mut z = key ^ member.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The member that owns the role of `key`, or `None` if there are no members.
pub fn owner<M>(key: u64, members: impl IntoIterator<Item = M>) -> Option<M>
where
    M: Copy + Into<u64> + Hash + Ord,
{
    members.into_iter().max_by_key(|&m| (weight(key, m.into()), m))
}

/// Up to `count` members in the order in which they would own the role of `key`, the current
/// owner first.
pub fn ranked_members<M>(key: u64, members: impl IntoIterator<Item = M>, count: usize) -> Vec<M>
where
    M: Copy + Into<u64> + Hash + Ord,
{
    let mut members: Vec<M> = members.into_iter().collect();
    members.sort_by_key(|&m| std::cmp::Reverse((weight(key, m.into()), m)));
    members.truncate(count);
    members
}

impl From<crate::InstanceId> for u64 {
    fn from(id: crate::InstanceId) -> u64 {
        u64::from(id.0)
    }
}
