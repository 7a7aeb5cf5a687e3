//! Catalogue declarations of a test site.

use {
    super::{PoolPlan, SitePlan, WorkspacePlan, site_upstreams::UpstreamSpec},
    poplargap_core::{
        catalogue::{
            CatalogueEntry, ClassEntry, DataCentreEntry, KeyDigest, LoadMultiple, PoolEntry,
            PoolKind, UpstreamEntry, UpstreamState, WorkspaceEntry, declaration,
        },
        name::{NameError, PoolName, WorkspaceName},
    },
};

/// Renders the declarations of all data centres, pools, upstreams and workspaces of a site.
pub(super) fn write(plan: &SitePlan, upstreams: &[UpstreamSpec]) -> Result<String, String> {
    let entries = entries(plan, upstreams).map_err(|error| error.to_string())?;
    let sections: Vec<String> = entries.iter().map(declaration::render).collect();
    Ok(sections.join("\n"))
}

fn entries(plan: &SitePlan, upstreams: &[UpstreamSpec]) -> Result<Vec<CatalogueEntry>, NameError> {
    let mut entries = Vec::new();
    for name in &plan.data_centres {
        let name = name.parse()?;
        entries.push(CatalogueEntry::DataCentre(DataCentreEntry { name }));
    }
    entries.push(pool(&plan.engines, PoolKind::Model)?);
    entries.push(pool(&plan.desks, PoolKind::Service)?);
    for spec in upstreams {
        entries.push(upstream(plan, spec)?);
    }
    for workspace in &plan.workspaces {
        entries.extend(workspace_entries(workspace)?);
    }
    Ok(entries)
}

fn pool(plan: &PoolPlan, kind: PoolKind) -> Result<CatalogueEntry, NameError> {
    Ok(CatalogueEntry::Pool(PoolEntry {
        kind,
        loads_at_once: None,
        multiple: LoadMultiple::try_from(plan.multiple).expect("a plan's multiple is in range"),
        name: plan.name.parse()?,
        queue: plan.queue,
        shard_size: plan.shard_size,
        slots: plan.slots,
    }))
}

fn upstream(plan: &SitePlan, spec: &UpstreamSpec) -> Result<CatalogueEntry, NameError> {
    Ok(CatalogueEntry::Upstream(UpstreamEntry {
        adapters: Vec::new(),
        address: spec.address,
        data_centre: spec.data_centre.parse()?,
        fencing: plan.fencing,
        model_version: None,
        name: spec.name.parse()?,
        pool: spec.pool.parse()?,
        role: None,
        state: UpstreamState::Serving,
    }))
}

fn workspace_entries(plan: &WorkspacePlan) -> Result<Vec<CatalogueEntry>, NameError> {
    let owner = WorkspaceName::try_from(plan.name.as_str())?;
    let mut entries = vec![CatalogueEntry::Workspace(WorkspaceEntry {
        key_sha256: KeyDigest::of_key(&plan.key),
        name: owner.clone(),
    })];
    for class in &plan.classes {
        entries.push(CatalogueEntry::Class(ClassEntry {
            deadline_ms: u64::try_from(class.deadline.as_millis()).unwrap_or(u64::MAX),
            limits: class.limits,
            name: class.name.parse()?,
            owner: owner.clone(),
            pool: PoolName::try_from(class.pool.as_str())?,
            priority: class.priority,
            repeatable: class.repeatable,
        }));
    }
    Ok(entries)
}
