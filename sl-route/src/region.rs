//! Regions in which requests may be served.

use std::{collections::BTreeMap, sync::Arc};

use serde::Serialize;

/// The region of each data centre, as far as it is known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions {
    by_data_centre: BTreeMap<String, String>,
}

impl FromIterator<(String, String)> for Regions {
    /// Collects pairs of a data centre and its region.
    fn from_iter<T: IntoIterator<Item = (String, String)>>(pairs: T) -> Regions {
        Regions { by_data_centre: pairs.into_iter().collect() }
    }
}

/// The names of the regions in which a route or a team may be served; without any it may be served
/// everywhere. Shared, as every request refers to them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct AllowedRegions(Arc<[String]>);

impl FromIterator<String> for AllowedRegions {
    fn from_iter<T: IntoIterator<Item = String>>(names: T) -> AllowedRegions {
        AllowedRegions(names.into_iter().collect())
    }
}

impl AllowedRegions {
    /// A list that allows no region.
    pub fn nowhere() -> AllowedRegions {
        // No region has an empty name.
        AllowedRegions::from_iter([String::new()])
    }

    /// Whether a data centre of this region may serve; `None` if its region is unknown.
    fn allows(&self, region: Option<&str>) -> bool {
        self.0.is_empty() || region.is_some_and(|region| self.0.iter().any(|it| it == region))
    }
}

/// The regions that one request is limited to: all lists bind.
#[derive(Clone, Copy, Debug)]
pub struct RegionLimits<'a> {
    /// The region of each data centre.
    pub regions: &'a Regions,
    /// The list of the request's route.
    pub route: &'a AllowedRegions,
    /// The list of the request's team; `None` without a team.
    pub team: Option<&'a AllowedRegions>,
}

impl RegionLimits<'_> {
    /// Whether the request may go to servers of the data centre.
    pub fn allows(&self, data_centre: &str) -> bool {
        // The usual case, for each server of each request: no look-up is needed.
        if self.route.0.is_empty() && self.team.is_none_or(|it| it.0.is_empty()) {
            return true;
        }
        let region = self.regions.by_data_centre.get(data_centre).map(String::as_str);
        self.route.allows(region) && self.team.is_none_or(|it| it.allows(region))
    }
}
