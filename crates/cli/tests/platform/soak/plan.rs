//! The plan of a seed: settings and faults, drawn from the ranges that the operators' pages allow.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// The settings and faults of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub dispatchers: usize,
    pub clients_per_dispatcher: usize,
    /// The longest deadline of both classes.
    pub deadline: Duration,
    /// Whether a write request may run twice.
    pub submit_repeat: SubmitRepeat,
    /// Duration for which cache hosts remember an idempotency key.
    pub key_lifetime: Duration,
    pub max_attempts: u32,
    pub descriptor_limit: u32,
    /// Whether idle clients exhaust the descriptors.
    pub idle_clients: bool,
    /// Whether the wall clocks of the dispatchers are stepped.
    pub clock_steps: bool,
    pub duration: Duration,
}

/// Whether a write request may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitRepeat {
    Idempotent,
    /// A request may be repeated within the lifetime of its idempotency key.
    Deduplicated,
    AtMostOnce,
}

impl SubmitRepeat {
    /// Returns the value of the setting.
    pub fn setting(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::Deduplicated => "deduplicated",
            Self::AtMostOnce => "at_most_once",
        }
    }
}

const DEADLINES_MS: [u64; 9] = [50, 120, 250, 400, 600, 1_000, 2_000, 3_000, 5_000];
/// Small fleets are drawn more often.
const DISPATCHERS: [usize; 7] = [3, 3, 4, 5, 8, 12, 30];
const SUBMIT_REPEATS: [SubmitRepeat; 3] = [
    SubmitRepeat::Idempotent,
    SubmitRepeat::Deduplicated,
    SubmitRepeat::AtMostOnce,
];
const KEY_LIFETIMES_MS: [u64; 3] = [500, 1_000, 2_000];
const DESCRIPTOR_LIMITS: [u32; 3] = [128, 256, 512];
/// The limit that idle clients can exhaust.
const DESCRIPTOR_LIMIT_WITH_IDLE_CLIENTS: u32 = 96;
/// Multiplier that spreads consecutive seeds (2^64 over the golden ratio).
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

fn choose<T: Copy>(rng: &mut StdRng, values: &[T]) -> T {
    values[rng.gen_range(0..values.len())]
}

impl Plan {
    /// Returns the plan of a seed. The values must be drawn in this order for a seed to keep its plan.
    pub fn draw(seed: u64, duration: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let idle_clients = rng.gen_bool(0.25);
        let deadline_ms = choose(&mut rng, &DEADLINES_MS);
        let dispatchers = choose(&mut rng, &DISPATCHERS);
        let clients_per_dispatcher = rng.gen_range(2..=3);
        let submit_repeat = choose(&mut rng, &SUBMIT_REPEATS);
        let key_lifetime_ms = choose(&mut rng, &KEY_LIFETIMES_MS);
        let max_attempts = rng.gen_range(2..=8);
        let descriptor_limit = match idle_clients {
            true => DESCRIPTOR_LIMIT_WITH_IDLE_CLIENTS,
            false => choose(&mut rng, &DESCRIPTOR_LIMITS),
        };
        let clock_steps = rng.gen_bool(0.4);
        Self {
            seed,
            dispatchers,
            clients_per_dispatcher,
            deadline: Duration::from_millis(deadline_ms),
            submit_repeat,
            key_lifetime: Duration::from_millis(key_lifetime_ms),
            max_attempts,
            descriptor_limit,
            idle_clients,
            clock_steps,
            duration,
        }
    }

    /// Returns the random number generator of one part of the run, which has a unique salt.
    pub fn rng(&self, salt: u64) -> StdRng {
        let seed = self.seed.wrapping_mul(SEED_MULTIPLIER).wrapping_add(salt);
        StdRng::seed_from_u64(seed)
    }
}
