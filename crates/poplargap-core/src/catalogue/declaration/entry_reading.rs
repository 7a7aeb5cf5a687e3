//! Conversion of a section into an entry.

use {
    crate::{
        catalogue::{
            CatalogueEntry, ClassEntry, DataCentreEntry, EntryKind, LimitSet, LoadMultiple,
            PoolEntry, UpstreamEntry, WorkspaceEntry,
        },
        input::SectionReader,
        name::NameError,
    },
    std::time::Duration,
};

/// Reads the entry that the section declares.
///
/// Returns `None` if the entry can't be built; the reader then has a finding.
pub(super) fn read_entry(
    kind: EntryKind,
    name: &str,
    reader: &mut SectionReader<'_>,
) -> Option<CatalogueEntry> {
    match kind {
        EntryKind::Class => read_class(name, reader).map(CatalogueEntry::Class),
        EntryKind::DataCentre => {
            let name = checked_name(name, reader)?;
            Some(CatalogueEntry::DataCentre(DataCentreEntry { name }))
        }
        EntryKind::Pool => read_pool(name, reader).map(CatalogueEntry::Pool),
        EntryKind::Upstream => read_upstream(name, reader).map(CatalogueEntry::Upstream),
        EntryKind::Workspace => read_workspace(name, reader).map(CatalogueEntry::Workspace),
    }
}

fn checked_name<'a, T>(name: &'a str, reader: &mut SectionReader<'_>) -> Option<T>
where
    T: TryFrom<&'a str, Error = NameError>,
{
    T::try_from(name)
        .map_err(|error| reader.add_finding("", error))
        .ok()
}

fn read_class(name: &str, reader: &mut SectionReader<'_>) -> Option<ClassEntry> {
    let name = checked_name(name, reader);
    let concurrency = reader.number("concurrency");
    let deadline = reader.duration("deadline");
    let owner = reader.checked("owner");
    let pool = reader.checked("pool");
    let priority = reader.choice("priority");
    let repeatable = reader.yes_no("repeatable");
    let requests_per_second = reader.number("requests-per-second");
    let tokens_per_minute = reader.number("tokens-per-minute");
    Some(ClassEntry {
        deadline_ms: deadline.map(whole_millis)?,
        limits: LimitSet {
            concurrency,
            requests_per_second,
            tokens_per_minute,
        },
        name: name?,
        owner: owner?,
        pool: pool?,
        priority: priority?,
        repeatable: repeatable?,
    })
}

fn read_pool(name: &str, reader: &mut SectionReader<'_>) -> Option<PoolEntry> {
    let name = checked_name(name, reader);
    let kind = reader.choice("kind");
    let loads_at_once = reader.number("loads-at-once");
    let multiple = reader.decimal("multiple").map(LoadMultiple::try_from);
    let queue = reader.number("queue");
    let shard_size = reader.number("shard-size");
    let slots = reader.number("slots");
    let multiple = multiple.and_then(|multiple| {
        multiple
            .map_err(|error| reader.add_finding("multiple", error))
            .ok()
    });
    Some(PoolEntry {
        kind: kind?,
        loads_at_once,
        multiple: multiple?,
        name: name?,
        queue: queue?,
        shard_size: shard_size?,
        slots: slots?,
    })
}

fn read_upstream(name: &str, reader: &mut SectionReader<'_>) -> Option<UpstreamEntry> {
    let name = checked_name(name, reader);
    let adapters = reader.checked_list("adapters");
    let address = reader.address("address");
    let data_centre = reader.checked("data-centre");
    let fencing = reader.choice("fencing");
    let model_version = reader.checked("model-version");
    let pool = reader.checked("pool");
    let role = reader.choice("role");
    let state = reader.choice("state");
    Some(UpstreamEntry {
        adapters: adapters?,
        address: address?,
        data_centre: data_centre?,
        fencing: fencing?,
        model_version,
        name: name?,
        pool: pool?,
        role,
        state: state?,
    })
}

fn read_workspace(name: &str, reader: &mut SectionReader<'_>) -> Option<WorkspaceEntry> {
    let name = checked_name(name, reader);
    let key_sha256 = reader.checked("key-sha256");
    Some(WorkspaceEntry {
        key_sha256: key_sha256?,
        name: name?,
    })
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
