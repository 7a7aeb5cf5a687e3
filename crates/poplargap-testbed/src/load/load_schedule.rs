//! Complete schedule of a load, which depends only on its settings.

use {
    super::{
        ChatPlan, DeskLoadSettings, DeskPlan, DeskWork, LoadFindings, LoadSettings, TurnPlan,
        WorkspaceLoad, chat_plan::system_text,
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// First random stream of the service calls; the chats of workspace `i` use stream `i`.
const DESK_STREAM: u64 = 1 << 32;

/// Number of different items that service calls refer to.
const ITEM_COUNT: u32 = 1000;

/// Maximum number of turns of a chat.
const TURNS_MAX: usize = 20;

/// Time before the load's start in which chats may begin, in multiples of the mean long pause.
const WARM_UP_PAUSES: u32 = 4;

/// All calls of a load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadSchedule {
    /// Chats with at least one turn within the load's duration.
    pub chats: Vec<ChatPlan>,
    /// Service calls, grouped by workspace and in order of time within each.
    pub desk_calls: Vec<DeskPlan>,
}

impl LoadSchedule {
    /// Returns whether no call is planned.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of planned calls.
    #[must_use]
    pub fn len(&self) -> usize {
        let turns = self.chats.iter().flat_map(|chat| &chat.turns);
        self.desk_calls.len() + turns.filter(|turn| turn.at.is_some()).count()
    }

    /// Returns the chat and turn indices of the planned turns, in order of time.
    #[must_use]
    pub fn turns(&self) -> Vec<(usize, usize)> {
        let mut turns: Vec<_> = self
            .chats
            .iter()
            .enumerate()
            .flat_map(|(i, chat)| (0..chat.turns.len()).map(move |turn| (i, turn)))
            .filter(|(chat, turn)| self.chats[*chat].turns[*turn].at.is_some())
            .collect();
        turns.sort_by_key(|(chat, turn)| (self.chats[*chat].turns[*turn].at, *chat, *turn));
        turns
    }
}

impl TryFrom<&LoadSettings> for LoadSchedule {
    type Error = LoadFindings;

    fn try_from(settings: &LoadSettings) -> Result<Self, LoadFindings> {
        let findings = LoadFindings::of_settings(settings);
        if !findings.0.is_empty() {
            return Err(findings);
        }
        let weights: f64 = settings.workspaces.iter().map(|load| load.weight).sum();
        let mut schedule = Self {
            chats: Vec::new(),
            desk_calls: Vec::new(),
        };
        for (i, load) in settings.workspaces.iter().enumerate() {
            let share = load.weight / weights;
            let mut planner = WorkspacePlanner {
                load,
                rng: rng(settings.seed, i as u64),
                settings,
                workspace: i,
            };
            schedule.chats.extend(planner.plan_chats(share));
            if let Some(desk) = &settings.desk {
                planner.rng = rng(settings.seed, DESK_STREAM + i as u64);
                schedule
                    .desk_calls
                    .extend(planner.plan_desk_calls(desk, share));
            }
        }
        Ok(schedule)
    }
}

fn rng(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream);
    rng
}

/// Plans the calls of one workspace.
#[derive(Debug)]
struct WorkspacePlanner<'a> {
    load: &'a WorkspaceLoad,
    rng: ChaCha8Rng,
    settings: &'a LoadSettings,
    workspace: usize,
}

impl WorkspacePlanner<'_> {
    fn plan_chat(&mut self, number: usize, start: f64) -> ChatPlan {
        let class_index = self.draw_class();
        let class = &self.load.classes[class_index];
        let shape = class.profile.shape();
        let mut turns = Vec::new();
        let mut at = start;
        let mut words = shape.first_words.clone();
        while turns.len() < TURNS_MAX && at < self.settings.duration.as_secs_f64() {
            turns.push(TurnPlan {
                at: Duration::try_from_secs_f64(at).ok(),
                daemon: self.rng.random_range(0..usize::MAX),
                max_tokens: self.rng.random_range(shape.answer_tokens.clone()),
                words: self.rng.random_range(words),
            });
            words = shape.later_words.clone();
            at += self.draw_pause();
            if self.rng.random::<f64>() < 1.0 / self.settings.turns_mean {
                break;
            }
        }
        ChatPlan {
            chat_id: format!("{}-c{number}", self.load.name),
            class: class_index,
            profile: class.profile,
            seed: self.rng.random(),
            system: system_text(&self.load.name, &class.name, shape.system_words),
            turns,
            workspace: self.workspace,
        }
    }

    fn plan_chats(&mut self, share: f64) -> Vec<ChatPlan> {
        let rate = self.settings.rate * share / self.settings.turns_mean;
        let surge = self
            .settings
            .surge
            .filter(|surge| surge.workspace == self.workspace);
        let rate_max = rate * surge.map_or(1.0, |surge| surge.factor);
        let warm_up = self.settings.pause_long * WARM_UP_PAUSES;
        let mut chats = Vec::new();
        if rate <= 0.0 {
            return chats;
        }
        let mut start = -warm_up.as_secs_f64();
        loop {
            start += self.draw_exponential(1.0 / rate_max);
            if start >= self.settings.duration.as_secs_f64() {
                return chats;
            }
            // Thinning: arrivals are drawn at the surge's rate; outside it, only a part is kept.
            let is_in_surge = surge.is_some_and(|surge| surge.contains(start));
            let is_kept = self.rng.random::<f64>() * rate_max < rate;
            if !is_kept && !is_in_surge {
                continue;
            }
            let chat = self.plan_chat(chats.len(), start);
            if chat.turns.iter().any(|turn| turn.at.is_some()) {
                chats.push(chat);
            }
        }
    }

    /// Draws a class index, weighted by the shares of the classes.
    fn draw_class(&mut self) -> usize {
        let shares: f64 = self.load.classes.iter().map(|class| class.share).sum();
        let mut point = self.rng.random::<f64>() * shares;
        for (i, class) in self.load.classes.iter().enumerate() {
            point -= class.share;
            if point < 0.0 {
                return i;
            }
        }
        self.load.classes.len() - 1
    }

    fn plan_desk_calls(&mut self, desk: &DeskLoadSettings, share: f64) -> Vec<DeskPlan> {
        let rate = desk.rate * share;
        let mut calls = Vec::new();
        if rate <= 0.0 {
            return calls;
        }
        let mut at = 0.0;
        loop {
            at += self.draw_exponential(1.0 / rate);
            if at >= self.settings.duration.as_secs_f64() {
                return calls;
            }
            let is_booking = self.rng.random::<f64>() < desk.booking_share;
            calls.push(DeskPlan {
                at: Duration::from_secs_f64(at),
                daemon: self.rng.random_range(0..usize::MAX),
                item: self.rng.random_range(0..ITEM_COUNT),
                request_id: format!("{}-d{}", self.load.name, calls.len()),
                work: if is_booking {
                    DeskWork::Booking
                } else {
                    DeskWork::Lookup
                },
                workspace: self.workspace,
            });
        }
    }

    /// Draws from the exponential distribution with `mean`, both in seconds.
    fn draw_exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    /// Draws the pause before the next turn, in seconds.
    fn draw_pause(&mut self) -> f64 {
        let is_long = self.rng.random::<f64>() < self.settings.pause_long_share;
        let mean = if is_long {
            self.settings.pause_long
        } else {
            self.settings.pause_short
        };
        self.draw_exponential(mean.as_secs_f64())
    }
}
