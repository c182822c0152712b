//! What one seed plays: settings and faults, drawn from what the operators' pages allow.
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
    /// Whether the class that writes may run twice, by the setting's name for it.
    pub submit_repeat: SubmitRepeat,
    /// How long cache hosts remember an idempotency key.
    pub key_lifetime: Duration,
    pub max_attempts: u32,
    pub descriptor_limit: u32,
    /// Idle clients take the descriptors.
    pub idle_clients: bool,
    /// The machines' wall clocks are stepped.
    pub clock_steps: bool,
    pub duration: Duration,
}

/// Whether a request of the class that writes may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitRepeat {
    Idempotent,
    /// Within the lifetime of its idempotency key.
    Deduplicated,
    AtMostOnce,
}

impl SubmitRepeat {
    /// The value of the setting.
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
/// Spreads seeds that follow each other (2^64 over the golden ratio).
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

fn choose<T: Copy>(rng: &mut StdRng, values: &[T]) -> T {
    values[rng.gen_range(0..values.len())]
}

impl Plan {
    /// The plan of a seed. A seed stands for its plan only as long as the values are drawn in this order.
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

    /// The random numbers of one part of the run, by a salt of its own.
    pub fn rng(&self, salt: u64) -> StdRng {
        let seed = self.seed.wrapping_mul(SEED_MULTIPLIER).wrapping_add(salt);
        StdRng::seed_from_u64(seed)
    }
}
