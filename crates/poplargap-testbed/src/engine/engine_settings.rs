//! Settings of an engine stand-in.

use {
    poplargap_core::catalogue::FencingCheck,
    std::{
        net::{Ipv4Addr, SocketAddr},
        num::NonZeroUsize,
        time::Duration,
    },
};

/// Shortest decode step; steps of no length would never reach a prompt's end.
const DECODE_STEP_MIN: Duration = Duration::from_micros(1);

/// How one engine stand-in behaves.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Tokens of one block of the prefix cache.
    pub block_tokens: NonZeroUsize,
    /// Most blocks that the prefix cache holds.
    pub cache_blocks: NonZeroUsize,
    /// Delay of cache events.
    pub cache_event_lag: Duration,
    /// Address of the control paths that no connection fault touches.
    pub control_listen: SocketAddr,
    /// Time of one decode step with one running request.
    pub decode_base: Duration,
    /// Time that each further running request adds to a decode step.
    pub decode_slope: Duration,
    /// Whether orders with an old fencing number are refused.
    pub fencing: FencingCheck,
    /// Address for work.
    pub listen: SocketAddr,
    /// Age of the load that is reported.
    pub load_lag: Duration,
    /// Time to read one prompt token that is not cached.
    pub prefill_per_token: Duration,
    /// Most requests that run at once.
    pub slots: usize,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            block_tokens: NonZeroUsize::new(16).expect("16 is not zero"),
            cache_blocks: NonZeroUsize::new(8192).expect("8192 is not zero"),
            cache_event_lag: Duration::from_millis(50),
            control_listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            decode_base: Duration::from_millis(10),
            decode_slope: Duration::from_micros(200),
            fencing: FencingCheck::Checked,
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            load_lag: Duration::from_millis(200),
            prefill_per_token: Duration::from_micros(100),
            slots: 24,
        }
    }
}

impl EngineSettings {
    /// Returns the time of one decode step for `running` requests; never zero.
    #[must_use]
    pub fn decode_step(&self, running: usize) -> Duration {
        let further = u32::try_from(running.saturating_sub(1)).unwrap_or(u32::MAX);
        (self.decode_base + self.decode_slope * further).max(DECODE_STEP_MIN)
    }

    /// Returns the time to read `tokens` prompt tokens that are not cached.
    #[must_use]
    pub fn prefill(&self, tokens: usize) -> Duration {
        self.prefill_per_token * u32::try_from(tokens).unwrap_or(u32::MAX)
    }
}
