//! Applies changes of the store to the reducer and the peer table.

use std::rc::Rc;

use platform::{
    Addresses, Entry, Malformed, ReadDocument,
    crash_record::{CRASH_RECORD_KEY, ReadCrashRecord},
    stream_origins::VERSION_RECORD_KEY,
};
use sl_mirror::Change;
use sl_route::{Event, version_record::VersionRecord};
use slog::{info, warn};

use crate::{core::Core, membership::PeerTable, store::Origin};

/// Applies changes of the store: configuration, backend servers and instances.
pub(crate) struct ChangeHandler {
    pub(crate) core: Rc<Core>,
    pub(crate) peer_table: Rc<PeerTable>,
}

/// Values of one configuration that are logged at most; the check of a configuration shows all.
const DEVIATIONS_LOGGED_MAX: usize = 20;

impl ChangeHandler {
    /// Applies changes in order; `origin` decides what a removal means. The records go first: an
    /// instance that starts has to know them before it sees the first server.
    pub(crate) fn apply(&self, changes: Vec<Change>, origin: Origin) {
        let is_record = |it: &&Change| it.key == VERSION_RECORD_KEY || it.key == CRASH_RECORD_KEY;
        let (records, others): (Vec<_>, Vec<_>) = changes.iter().partition(is_record);
        for change in records.into_iter().chain(others) {
            self.apply_one(change, origin);
        }
    }

    fn apply_one(&self, change: &Change, origin: Origin) {
        match Entry::decode(&change.key, change.value.as_deref()) {
            Entry::Document(Ok(read)) => self.apply_document(*read, change),
            Entry::Document(Err(e)) => {
                self.core.metrics.configurations_malformed.inc();
                warn!(self.core.log, "malformed configuration ignored"; "reason" => %e,
                    "in_force" => self.core.document().version);
            }
            Entry::Server { record: Some(Ok(record)), .. } => {
                self.core.step(Event::ServerListed(record));
            }
            Entry::Server { id, record: Some(Err(e)) } => {
                info!(self.core.log, "malformed server entry treated as removed";
                    "server" => id, "reason" => %e);
                self.core.step(Event::ServerRemoved { id: id.into() });
            }
            Entry::Server { id, record: None } => self.remove_server(id, origin),
            Entry::Evacuation { data_centre, is_demanded } => {
                let data_centre = data_centre.into();
                self.core.step(if is_demanded {
                    Event::EvacuationRequested { data_centre }
                } else {
                    Event::EvacuationLifted { data_centre }
                });
            }
            Entry::Instance { name, addresses } => self.apply_instance(name, addresses),
            Entry::VersionRecord(record) => self.apply_version_record(record),
            Entry::CrashRecord(record) => self.apply_crash_record(record),
            Entry::Other => {}
        }
    }

    fn apply_document(&self, read: ReadDocument, change: &Change) {
        let ReadDocument { document, deviations } = read;
        let before = self.core.document().version;
        let (version, routes) = (document.version, document.routes().count());
        if !self.is_newer(version, change) {
            info!(self.core.log, "configuration ignored: not newer than the one in force";
                "version" => version, "in_force" => before);
            return;
        }
        self.core.metrics.document_version.set(version as i64);
        self.core.metrics.configuration_deviations.set(deviations.len() as i64);
        self.core.step(Event::Document(document.into()));
        self.core.record_document_applied(change.clone());
        info!(self.core.log, "configuration in force";
            "version" => version, "before" => before, "routes" => routes);
        for it in deviations.iter().take(DEVIATIONS_LOGGED_MAX) {
            warn!(self.core.log, "value of the configuration not used as written";
                "version" => version, "path" => &it.path, "used" => it.used);
        }
    }

    /// Whether an entry has to replace the configuration in force. Versions that differ by less than
    /// a whole number count as the same one; the entry written last holds then.
    fn is_newer(&self, version: u64, change: &Change) -> bool {
        let in_force = self.core.document().version;
        let is_other = self.core.document_entry().is_none_or(|it| it.value != change.value);
        version > in_force || version == in_force && version > 0 && is_other
    }

    fn apply_version_record(&self, record: Option<Result<VersionRecord, Malformed>>) {
        let record = record.and_then(|it| {
            it.inspect_err(|e| {
                warn!(self.core.log, "malformed version record treated as removed"; "reason" => %e);
            })
            .ok()
        });
        self.core.step(Event::VersionRecordListed(record));
    }

    fn apply_crash_record(&self, read: Option<Result<ReadCrashRecord, Malformed>>) {
        let read = read.and_then(|it| {
            it.inspect_err(|e| {
                warn!(self.core.log, "malformed crash record treated as removed"; "reason" => %e);
            })
            .ok()
        });
        if let Some(ReadCrashRecord { malformed, first_malformed: Some(reason), .. }) = &read {
            warn!(self.core.log, "malformed entries of the crash record ignored";
                "entries" => malformed, "first" => reason);
        }
        let record = read.map(|it| it.record);
        if let Some(record) = &record {
            info!(self.core.log, "crash record read";
                "era" => record.era, "causes" => record.causes.len());
        }
        self.core.step(Event::CrashRecordListed(record));
    }

    fn remove_server(&self, id: &str, origin: Origin) {
        let id = id.into();
        self.core.step(match origin {
            Origin::Live => Event::ServerRemoved { id },
            Origin::AfterOutage { complete_at } => {
                Event::ServerMissing { id, expires_at: complete_at }
            }
        });
    }

    fn apply_instance(&self, name: &str, addresses: Option<Result<Addresses, Malformed>>) {
        let addresses = addresses.and_then(|it| {
            it.inspect_err(|e| {
                info!(self.core.log, "malformed instance entry treated as removed";
                    "name" => name, "reason" => %e);
            })
            .ok()
        });
        self.peer_table.set_listing(name, addresses);
    }
}
