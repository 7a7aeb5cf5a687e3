use {
    super::{ReplicaEntry, ReplicaId},
    crate::{collections::HashMap, instant::MonotonicInstant},
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// Most prompts whose homes are remembered; further ones have none until some expire.
const PROMPTS_MAX: usize = 4_096;

/// Most homes of one prompt.
const HOMES_MAX: usize = 8;

/// Time after the last use after which a replica has probably dropped a prompt.
const HOME_LIFE: Duration = Duration::from_mins(1);

/// Time after which a home that is still used is told again.
const TOLD_PAUSE: Duration = Duration::from_secs(5);

/// Most homes that are told at once; the rest is told when it is used again.
const TOLD_MAX: usize = 48;

/// A home, as one daemon tells it to the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ToldHome {
    /// Key of the prompt's shared parts.
    pub key: u64,
    /// The replica that read them.
    pub replica: ReplicaId,
}

/// A replica that has read a prompt's shared parts.
#[derive(Clone, Debug)]
struct PromptHome {
    born_ms: u64,
    replica: ReplicaId,
    told: Option<MonotonicInstant>,
    used: MonotonicInstant,
}

impl PromptHome {
    fn is_live(&self, now: MonotonicInstant) -> bool {
        now.since(self.used) < HOME_LIFE
    }
}

/// Which replicas have read which prompts, by this daemon's requests and by word of the others.
#[derive(Debug, Default)]
pub struct PromptHomes {
    news: Vec<ToldHome>,
    prompts: HashMap<u64, Vec<PromptHome>>,
}

impl PromptHomes {
    /// Records that a request for the prompt `key` goes to `replica`.
    pub fn record(&mut self, key: u64, replica: &ReplicaEntry, now: MonotonicInstant) {
        let has_room = self.news.len() < TOLD_MAX;
        let Some(home) = self.use_home(key, replica, now) else {
            return;
        };
        let is_news = home.told.is_none_or(|told| now.since(told) >= TOLD_PAUSE);
        if is_news && has_room {
            home.told = Some(now);
            self.news.push(ToldHome {
                key,
                replica: Arc::clone(&replica.id),
            });
        }
    }

    /// Records a home that another daemon told of, which needn't be told again.
    pub fn record_told(&mut self, key: u64, replica: &ReplicaEntry, now: MonotonicInstant) {
        if let Some(home) = self.use_home(key, replica, now) {
            home.told = Some(now);
        }
    }

    /// Returns whether `replica` has probably kept the prompt `key`.
    #[must_use]
    pub fn is_home(&self, key: u64, replica: &ReplicaEntry, now: MonotonicInstant) -> bool {
        let homes = self.prompts.get(&key);
        homes.into_iter().flatten().any(|home| {
            home.replica == replica.id && home.born_ms == replica.born_ms && home.is_live(now)
        })
    }

    /// Takes out what the other daemons haven't been told.
    pub fn take_news(&mut self) -> Vec<ToldHome> {
        std::mem::take(&mut self.news)
    }

    /// Forgets homes that were not used for long.
    pub fn expire(&mut self, now: MonotonicInstant) {
        self.prompts.retain(|_, homes| {
            homes.retain(|home| home.is_live(now));
            !homes.is_empty()
        });
    }

    /// Finds or adds a home; of too many the one that was used least lately yields.
    fn use_home(
        &mut self,
        key: u64,
        replica: &ReplicaEntry,
        now: MonotonicInstant,
    ) -> Option<&mut PromptHome> {
        if self.prompts.len() >= PROMPTS_MAX && !self.prompts.contains_key(&key) {
            return None;
        }
        let homes = self.prompts.entry(key).or_default();
        let known = homes.iter().position(|home| home.replica == replica.id);
        let position = known.unwrap_or_else(|| {
            if homes.len() >= HOMES_MAX {
                homes.sort_unstable_by_key(|home| home.used);
                homes.remove(0);
            }
            homes.push(PromptHome {
                born_ms: replica.born_ms,
                replica: Arc::clone(&replica.id),
                told: None,
                used: now,
            });
            homes.len() - 1
        });
        let home = &mut homes[position];
        home.born_ms = replica.born_ms;
        home.used = now;
        Some(home)
    }
}
