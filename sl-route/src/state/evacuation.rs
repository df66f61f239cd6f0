//! Evacuations of data centres. See docs/design/evacuation.md.

use std::sync::Arc;

use sl_base::Timestamp;

use super::{State, listing::FIRST_LIST_DELAY};
use crate::{Decision, Effect, ServerKey, evacuation::Evacuations, server::Server};

impl State {
    /// The data centres that the operator has evacuated.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Whether the server is in an evacuated data centre, so that nothing may be sent to it.
    pub fn is_evacuated(&self, server: ServerKey) -> bool {
        let server = self.servers.get(&server);
        server.is_some_and(|it| self.evacuations.contains(&it.record.data_centre))
    }

    pub(super) fn on_evacuation_requested(&mut self, data_centre: Arc<str>) {
        if self.evacuations.begin(data_centre.clone()) {
            let servers = self.servers_in(&data_centre).count();
            self.effects.push(Effect::Log(Decision::DataCentreEvacuated { data_centre, servers }));
        }
    }

    pub(super) fn on_evacuation_lifted(&mut self, now: Timestamp, data_centre: &str) {
        self.evacuations.request_end(now, data_centre);
        self.end_evacuations(now);
    }

    /// Ends the evacuations that are due. The servers may have gone cold meanwhile, and the caches
    /// of engines may hold other parts than before.
    pub(super) fn end_evacuations(&mut self, now: Timestamp) {
        for data_centre in self.evacuations.take_ended(now) {
            let returned: Vec<ServerKey> = self.servers_in(&data_centre).map(|it| it.key).collect();
            for &server in &returned {
                self.prepare_return(now, server);
            }
            let servers = returned.len();
            self.effects.push(Effect::Log(Decision::DataCentreReturned { data_centre, servers }));
        }
    }

    fn prepare_return(&mut self, now: Timestamp, key: ServerKey) {
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        server.list_cache_at = now.after(FIRST_LIST_DELAY);
        let service = self.document.services.get(&server.record.service);
        // Its caches may have been lost meanwhile; its next entry says whether it is cold.
        if let Some(warmup) = service.and_then(|it| it.warmup) {
            self.mark_cold(key, now.after(warmup.duration));
        }
    }

    fn servers_in(&self, data_centre: &str) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(move |it| *it.record.data_centre == *data_centre)
    }
}
