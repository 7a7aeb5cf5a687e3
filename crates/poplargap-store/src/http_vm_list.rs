//! HTTP client of the platform's VM list.

use {
    crate::{
        CallKind, CallOutcome, StoreCounters, StoreError, VmAnswer, VmEntry, VmList, VmListError,
        VmQuery, VmTag, call_record::CallRecord, http_pool::HttpPool,
    },
    reqwest::{Client, StatusCode, header::IF_NONE_MATCH},
    std::{net::SocketAddr, time::Duration},
};

/// Path of the VM list at the platform.
const VM_PATH: &str = "/v1/vms";

/// HTTP client of the VM list.
///
/// Every call ends within the timeout. Clones share connections and counters.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    pool: HttpPool,
}

impl HttpVmList {
    /// Creates a client with counters of its own.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP library can't be set up.
    pub fn new(address: SocketAddr, timeout: Duration) -> Result<Self, VmListError> {
        Self::with_counters(address, timeout, StoreCounters::new())
    }

    /// Creates a client that adds to `counters`, such as those of the store's client.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP library can't be set up.
    pub fn with_counters(
        address: SocketAddr,
        timeout: Duration,
        counters: StoreCounters,
    ) -> Result<Self, VmListError> {
        let pool = HttpPool::new(address, "vm-list", timeout, counters).map_err(vm_list_error)?;
        Ok(Self { pool })
    }

    /// Returns the client's counters.
    #[must_use]
    pub fn counters(&self) -> &StoreCounters {
        self.pool.counters()
    }

    async fn read(&self) -> Result<Vec<VmEntry>, StoreError> {
        let url = self.pool.url(VM_PATH);
        let answer = self
            .pool
            .send(Duration::ZERO, |client| client.get(url))
            .await?;
        if !answer.status.is_success() {
            return Err(StoreError::Refused(answer.status.as_u16()));
        }
        answer.decode()
    }

    async fn read_part(
        &self,
        query: &VmQuery,
        known: Option<&VmTag>,
    ) -> Result<VmAnswer, StoreError> {
        let url = self.pool.url(VM_PATH);
        let request = |client: &Client| {
            let request = client.get(url).query(query);
            match known {
                Some(tag) => request.header(IF_NONE_MATCH, &tag.0),
                None => request,
            }
        };
        let answer = self.pool.send(Duration::ZERO, request).await?;
        if answer.status == StatusCode::NOT_MODIFIED {
            return Ok(VmAnswer::Unchanged);
        }
        if !answer.status.is_success() {
            return Err(StoreError::Refused(answer.status.as_u16()));
        }
        let entries = answer.decode()?;
        let tag = answer.tag.map(VmTag);
        Ok(VmAnswer::Listed { entries, tag })
    }
}

impl VmList for HttpVmList {
    async fn vms(&self) -> Result<Vec<VmEntry>, VmListError> {
        let record = CallRecord::new(self.counters(), CallKind::Vms);
        let result = self.read().await;
        record.finish(CallOutcome::from(&result));
        result.map_err(vm_list_error)
    }

    async fn query_vms(
        &self,
        query: &VmQuery,
        known: Option<&VmTag>,
    ) -> Result<VmAnswer, VmListError> {
        let record = CallRecord::new(self.counters(), CallKind::Vms);
        let result = self.read_part(query, known).await;
        record.finish(CallOutcome::from(&result));
        result.map_err(vm_list_error)
    }
}

fn vm_list_error(error: StoreError) -> VmListError {
    match error {
        StoreError::Malformed(text) => VmListError::Malformed(text),
        error => VmListError::Unreachable(error.to_string()),
    }
}
