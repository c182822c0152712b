//! What one seed plays: settings and troubles, drawn from what the operators' pages allow.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub processes: usize,
    pub clients_each: usize,
    pub deadline: Duration,
    /// Of the class that writes, by the settings' word.
    pub effect: &'static str,
    pub key_window: Duration,
    pub attempts: u32,
    pub sockets: u32,
    /// Idle clients fill the descriptors.
    pub crowd: bool,
    /// The machines' wall clocks are stepped.
    pub steps: bool,
    pub lasts: Duration,
}

fn one_of<T: Copy>(dice: &mut StdRng, of: &[T]) -> T {
    of[dice.gen_range(0..of.len())]
}

impl Plan {
    pub fn draw(seed: u64, lasts: Duration) -> Self {
        let mut dice = StdRng::seed_from_u64(seed);
        let crowd = dice.gen_bool(0.25);
        let deadline = one_of(
            &mut dice,
            &[50, 120, 250, 400, 600, 1_000, 2_000, 3_000, 5_000],
        );
        Self {
            seed,
            processes: one_of(&mut dice, &[3, 3, 4, 5, 8, 12, 30]),
            clients_each: dice.gen_range(2..=3),
            deadline: Duration::from_millis(deadline),
            effect: one_of(&mut dice, &["idempotent", "deduplicated", "at_most_once"]),
            key_window: Duration::from_millis(one_of(&mut dice, &[500, 1_000, 2_000])),
            attempts: dice.gen_range(2..=8),
            sockets: if crowd {
                96
            } else {
                one_of(&mut dice, &[128, 256, 512])
            },
            crowd,
            steps: dice.gen_bool(0.4),
            lasts,
        }
    }

    pub fn dice(&self, salt: u64) -> StdRng {
        StdRng::seed_from_u64(
            self.seed
                .wrapping_mul(0x9e37_79b9_7f4a_7c15)
                .wrapping_add(salt),
        )
    }
}
