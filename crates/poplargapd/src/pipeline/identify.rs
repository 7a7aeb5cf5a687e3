//! Finds the workspace, the class and the pool of a request.

use {
    super::{CallerRequest, ProblemCode, RequestProblem},
    poplargap_core::{
        catalogue::{CatalogueSnapshot, ClassEntry, KeyDigest, PoolEntry, PoolKind},
        finding::nearest_word,
        instant::MonotonicInstant,
        name::{ClassName, PoolName, WorkspaceName},
    },
    std::sync::Arc,
};

/// Class, pool and deadline of a request, by the catalogue in force.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The class of work.
    pub class: Arc<ClassEntry>,
    /// When the answer must be complete.
    pub deadline: MonotonicInstant,
    /// The pool that serves the class.
    pub pool: Arc<PoolEntry>,
}

impl Identity {
    /// Finds the identity of a request for `pool`, which must be of `kind`.
    ///
    /// # Errors
    ///
    /// Returns a problem when the key, the pool or the class is unknown.
    pub fn find(
        request: &CallerRequest,
        catalogue: &CatalogueSnapshot,
        pool: &str,
        kind: PoolKind,
    ) -> Result<Self, RequestProblem> {
        let key = request.bearer.as_deref().unwrap_or_default();
        let workspace = catalogue
            .workspace_of_key(&KeyDigest::of_key(key))
            .ok_or_else(|| {
                RequestProblem::not_run(ProblemCode::UnknownKey, "no workspace has this bearer key")
            })?;
        let pool = find_pool(catalogue, pool, kind)?;
        let class = find_class(request, catalogue, &workspace.name, &pool.name)?;
        let time = request
            .deadline
            .map_or(class.deadline(), |deadline| deadline.min(class.deadline()));
        let deadline = request.accepted + time;
        Ok(Self {
            class,
            deadline,
            pool,
        })
    }
}

fn find_pool(
    catalogue: &CatalogueSnapshot,
    name: &str,
    kind: PoolKind,
) -> Result<Arc<PoolEntry>, RequestProblem> {
    let unknown = || {
        let known = catalogue.pools.values().filter(|pool| pool.kind == kind);
        let near = nearest_word(name, known.map(|pool| pool.name.as_str()));
        let hint = near
            .map(|near| format!("; the nearest is `{near}`"))
            .unwrap_or_default();
        RequestProblem::not_run(
            ProblemCode::UnknownPool,
            format!("no {kind} is called `{name}`{hint}"),
        )
    };
    let name = PoolName::try_from(name).map_err(|_source| unknown())?;
    let pool = catalogue.pools.get(&name).filter(|pool| pool.kind == kind);
    pool.cloned().ok_or_else(unknown)
}

fn find_class(
    request: &CallerRequest,
    catalogue: &CatalogueSnapshot,
    workspace: &WorkspaceName,
    pool: &PoolName,
) -> Result<Arc<ClassEntry>, RequestProblem> {
    let mut classes = catalogue.classes_of(workspace, pool);
    let class = match &request.class {
        Some(name) => classes.find(|class| is_named(class, name)).ok_or_else(|| {
            let detail = format!("the workspace has no class `{name}` for `{pool}`");
            RequestProblem::not_run(ProblemCode::UnknownClass, detail)
        })?,
        None => only_class(classes, pool)?,
    };
    Ok(Arc::clone(class))
}

/// Returns whether `name` is the class's name, with or without its owner's name and a dot in front.
fn is_named(class: &ClassEntry, name: &ClassName) -> bool {
    let full = class.name.as_str();
    let short = full
        .strip_prefix(class.owner.as_str())
        .and_then(|rest| rest.strip_prefix('.'));
    full == name.as_str() || short == Some(name.as_str())
}

fn only_class<'a>(
    mut classes: impl Iterator<Item = &'a Arc<ClassEntry>>,
    pool: &PoolName,
) -> Result<&'a Arc<ClassEntry>, RequestProblem> {
    let Some(class) = classes.next() else {
        let detail = format!("the workspace has no class for `{pool}`");
        return Err(RequestProblem::not_run(ProblemCode::UnknownClass, detail));
    };
    if classes.next().is_some() {
        let detail =
            format!("the workspace has several classes for `{pool}`; name one in poplargap-class");
        return Err(RequestProblem::not_run(ProblemCode::ClassRequired, detail));
    }
    Ok(class)
}
