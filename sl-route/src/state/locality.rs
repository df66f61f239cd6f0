//! How much leaves the data centre, measured for each service.

use rand::RngExt;
use sl_base::{ServiceId, Timestamp};

use super::State;
use crate::{
    locality::{Locality, Shortage},
    place::{Placement, PlacementError},
    request::InFlightRequest,
};

impl State {
    /// The share of the service's requests that leave because own servers are too few; 0 if bytes
    /// cost nothing.
    pub(super) fn data_centre_share(&self, service: ServiceId) -> f64 {
        let shortage = self.shortages.get(&service).filter(|_| self.weighs_data_centres());
        shortage.map_or(0.0, |it| it.share())
    }

    /// How a request weighs the servers of other data centres.
    pub(super) fn locality<'a>(&'a self, in_flight: &InFlightRequest) -> Locality<'a> {
        Locality {
            data_centre: &self.options.data_centre,
            cost_ms_per_mb: self.options.limits.data_centre_cost_ms_per_mb,
            body_bytes: in_flight.arrival.body_bytes,
            is_drawn: in_flight.is_drawn_to_leave,
        }
    }

    /// Draws whether a new request is one of the share that leaves. Without a cost of bytes
    /// nothing is drawn, so that all other draws stay the same.
    pub(super) fn draw_leave(&mut self, in_flight: &mut InFlightRequest) {
        let share = self.data_centre_share(in_flight.arrival.service);
        in_flight.is_drawn_to_leave = share > 0.0 && self.rng.random_bool(share);
    }

    /// Records whether a server of the own data centre had time for a new request. Where a resumed
    /// stream goes on depends on its version instead. An evacuation of the own data centre, or a list
    /// of regions without it, is no shortage of servers.
    pub(super) fn record_shortage(
        &mut self,
        now: Timestamp,
        in_flight: &InFlightRequest,
        placement: &Result<Placement, PlacementError>,
    ) {
        if !self.weighs_data_centres()
            || in_flight.arrival.is_resumed()
            || !self.may_stay(in_flight)
        {
            return;
        }
        let own_has_time = placement.as_ref().is_ok_and(|it| it.own_has_time);
        let shortage = self.shortages.entry(in_flight.arrival.service);
        shortage.or_insert_with(|| Shortage::new(now)).record(now, own_has_time);
    }

    /// Whether the own data centre is one in which the request may be served.
    fn may_stay(&self, in_flight: &InFlightRequest) -> bool {
        let data_centre = &self.options.data_centre;
        !self.evacuations.contains(data_centre) && self.region_limits(in_flight).allows(data_centre)
    }

    fn weighs_data_centres(&self) -> bool {
        self.options.limits.data_centre_cost_ms_per_mb > 0.0
    }
}
