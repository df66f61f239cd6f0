//! What follows from changes of the store: a configuration, servers, fellow instances.

use std::rc::Rc;

use platform::{Addresses, Entry};
use sl_mirror::Change;
use sl_route::Event;
use slog::{info, warn};

use crate::{core::Core, membership::PeerTable, store::Origin};

/// What follows from changes of the store.
pub(crate) struct ChangeHandler {
    pub(crate) core: Rc<Core>,
    pub(crate) peer_table: Rc<PeerTable>,
}

impl ChangeHandler {
    /// Takes changes that came from `origin`.
    pub(crate) fn apply(&self, changes: Vec<Change>, origin: Origin) {
        for change in &changes {
            self.take_one(change, origin);
        }
    }

    fn take_one(&self, change: &Change, origin: Origin) {
        match Entry::decode(&change.key, change.value.as_deref()) {
            Entry::Document(Ok(document)) => self.take_document(*document),
            Entry::Document(Err(e)) => {
                warn!(self.core.log, "configuration not understood"; "reason" => %e);
            }
            Entry::Server { record: Some(Ok(record)), .. } => {
                self.core.step(Event::ServerListed(record));
            }
            Entry::Server { id, record: Some(Err(e)) } => {
                info!(self.core.log, "server entry not understood";
                    "server" => id, "reason" => %e);
                self.core.step(Event::ServerRemoved { id: id.into() });
            }
            Entry::Server { id, record: None } => self.removed(id, origin),
            Entry::Instance { name, addresses } => self.take_instance(name, addresses),
            Entry::Other => {}
        }
    }

    fn take_document(&self, document: sl_route::Document) {
        let before = self.core.document().version;
        let (version, routes) = (document.version, document.routes().count());
        if version <= before {
            info!(self.core.log, "older configuration ignored";
                "version" => version, "in_force" => before);
            return;
        }
        self.core.metrics.document_version.set(version as i64);
        self.core.step(Event::Document(document.into()));
        self.core.set_has_document();
        info!(self.core.log, "configuration in force";
            "version" => version, "before" => before, "routes" => routes);
    }

    fn removed(&self, id: &str, origin: Origin) {
        let id = id.into();
        self.core.step(match origin {
            Origin::Live => Event::ServerRemoved { id },
            Origin::AfterOutage { settled_at } => {
                Event::ServerMissing { id, expires_at: settled_at }
            }
        });
    }

    fn take_instance(&self, name: &str, addresses: Option<Result<Addresses, platform::Malformed>>) {
        let addresses = addresses.and_then(|it| {
            it.inspect_err(|e| {
                info!(self.core.log, "instance entry not understood";
                    "name" => name, "reason" => %e);
            })
            .ok()
        });
        self.peer_table.set_listing(name, addresses);
    }
}
