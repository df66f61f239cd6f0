//! From an instance's settings to what each part needs to know.

use sl_base::{Incarnation, Millis, listing::ListedInstance, status::InstanceStatus};
use sl_config::{
    Settings,
    settings::{Seed, SharePolicy},
};
use sl_fair::Service;
use sl_front::KeyHash;
use sl_slots::Policy;

/// What the front needs.
///
/// # Errors
///
/// The first operator key hash that is none.
pub(crate) fn front(settings: &Settings) -> Result<sl_front::Options, String> {
    let hashes: Result<Vec<KeyHash>, String> = settings
        .keys
        .operators
        .iter()
        .map(|it| blake3::Hash::from_hex(it).map_err(|_| it.clone()))
        .map(|it| it.map(|hash| *hash.as_bytes()))
        .collect();
    Ok(sl_front::Options {
        caller: settings.listen.caller,
        operator: settings.listen.operator,
        metrics: settings.listen.metrics,
        operator_key_hashes: hashes?,
        headers_max: u64::from(settings.bounds.header_bytes),
        requests_max: u64::from(settings.bounds.held_requests),
        bytes_max: settings.bounds.waiting_bytes,
        body_within: BODY_WITHIN,
        buffer_max: BUFFER_BYTES,
    })
}

/// What the reducer needs.
pub(crate) fn state(settings: &Settings, incarnation: Incarnation) -> sl_step::Options {
    let periods = &settings.periods;
    let usual = sl_step::Options::of(&settings.name, incarnation, settings.listen.control);
    let slots = sl_slots::Options {
        lease: periods.slot_lease,
        surrender_every: periods.exchange,
        policy: match settings.sharing.policy {
            SharePolicy::Lent => Policy::Lent,
            SharePolicy::FixedSplit => Policy::FixedSplit,
            SharePolicy::Uncoordinated => Policy::Uncoordinated,
        },
        tolerance: Service::of(settings.sharing.tolerance_units, 1).0,
        ..usual.slots
    };
    let members = sl_member::Options { isolated_after: periods.isolated_after, ..usual.members };
    sl_step::Options {
        seed: settings.seed.unwrap_or(incarnation.0),
        seeds: settings.seeds.iter().map(listed).collect(),
        requests_max: settings.bounds.held_requests as usize,
        bytes_max: settings.bounds.waiting_bytes,
        exchange_period: periods.exchange,
        list_period: periods.list,
        platform_answer: settings.platform.call_within,
        watch_wait: settings.platform.watch_within,
        slots,
        members,
        ..usual
    }
}

fn listed(seed: &Seed) -> ListedInstance {
    ListedInstance {
        name: seed.name.clone(),
        data_centre: String::new(),
        control: seed.control,
        leaving: false,
    }
}

/// What the instance says of itself from the start.
pub(crate) fn status(settings: &Settings, incarnation: Incarnation) -> InstanceStatus {
    InstanceStatus {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation,
        ..InstanceStatus::default()
    }
}

/// How long a caller may take to send its body.
const BODY_WITHIN: Millis = Millis(30_000);
/// Bytes of the longest answer that is passed on only when it is whole.
const BUFFER_BYTES: u64 = 64 * 1024;
