//! Differences between two configurations as the instances read them.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use platform::DocumentEntries;
use serde::Serialize;
use serde_json::{Value, json};

/// A difference from the version in force.
#[derive(Clone, Debug, Serialize)]
pub struct Difference {
    /// The entry, such as `service model`.
    pub entry: String,
    /// The field of the entry; `None` if the whole entry was added or removed.
    pub field: Option<String>,
    /// The value in force; `None` if the entry is new. Durations are in milliseconds.
    pub before: Option<Value>,
    /// The new value; `None` if the entry is removed.
    pub after: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Difference { entry, field, before, after } = self;
        match (field, before, after) {
            (Some(field), Some(before), Some(after)) => {
                write!(f, "changed: {entry}: {field}: {before} -> {after}")
            }
            (_, None, Some(after)) => write!(f, "added: {entry}: {after}"),
            _ => write!(f, "removed: {entry}"),
        }
    }
}

/// Hexadecimal digits of the hash of an API key that are shown: enough to tell the keys of a
/// configuration apart, without being usable as a key.
const KEY_HASH_DIGITS: usize = 8;

/// The beginning of the hash of an API key, which is shown instead of the key.
pub(super) fn shortened_key(key: &str) -> String {
    let hash = blake3::hash(key.as_bytes()).to_hex();
    format!("#{}", &hash[..KEY_HASH_DIGITS])
}

/// The differences of `after` from `before`, ordered by entry.
pub(super) fn between(before: &DocumentEntries, after: &DocumentEntries) -> Vec<Difference> {
    let (before, after) = (values_by_entry(before), values_by_entry(after));
    let entries: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    entries.into_iter().flat_map(|it| of_entry(it, before.get(it), after.get(it))).collect()
}

fn of_entry(entry: &str, before: Option<&Value>, after: Option<&Value>) -> Vec<Difference> {
    let difference = |field, before: Option<&Value>, after: Option<&Value>| Difference {
        entry: entry.to_owned(),
        field,
        before: before.cloned(),
        after: after.cloned(),
    };
    let (Some(Value::Object(old)), Some(Value::Object(new))) = (before, after) else {
        return vec![difference(None, before, after)];
    };
    let changed = new.iter().filter(|(field, value)| old.get(*field) != Some(value));
    let changed =
        changed.map(|(field, value)| difference(Some(field.clone()), old.get(field), Some(value)));
    changed.collect()
}

/// The fields of each entry. Of entries that replace each other, the one in use is taken.
fn values_by_entry(entries: &DocumentEntries) -> BTreeMap<String, Value> {
    let mut values = BTreeMap::from([("limits".to_owned(), json!(entries.limits))]);
    for entry in entries.routes.iter().rev() {
        let mut value = json!(entry.route);
        let weights = entry.route.services.iter().map(|it| it.1);
        value["services"] = entry.service_names.iter().zip(weights).map(|it| json!(it)).collect();
        let host = entry.route.host.to_ascii_lowercase();
        values.insert(format!("route {host}{}", entry.route.prefix), value);
    }
    for service in &entries.services {
        values.insert(format!("service {}", service.name), json!(service));
    }
    for (team, keys) in &entries.teams {
        let mut value = json!(team);
        let keys: BTreeSet<String> = keys.iter().map(|it| shortened_key(it)).collect();
        value["api_keys"] = json!(keys);
        values.insert(format!("tenant {}", team.name), value);
    }
    values
}
