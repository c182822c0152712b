//! Seeds of a command that runs a scenario many times.
use std::str::FromStr;

const MAX_SEEDS: usize = 100_000;

/// Reason for which a text is not a list of seeds.
#[derive(Debug, thiserror::Error)]
pub enum SeedsError {
    /// A seed is not a number.
    #[error("{0:?} is not a seed; expected a non-negative integer")]
    NotANumber(String),
    /// The range is empty.
    #[error("{0:?} contains no seed")]
    Empty(String),
    /// The number of seeds exceeds the limit.
    #[error("{0} seeds given; expected at most 100,000")]
    TooMany(usize),
}

/// Seeds, written `1..20` (both included) or `3,5,9`.
#[derive(Clone, Debug)]
pub struct Seeds(pub Vec<u64>);

impl FromStr for Seeds {
    type Err = SeedsError;

    fn from_str(text: &str) -> Result<Self, SeedsError> {
        let seeds: Vec<u64> = match text.split_once("..") {
            Some((first, last)) => (parse(first)?..=parse(last)?).collect(),
            None => text.split(',').map(parse).collect::<Result<_, _>>()?,
        };
        match seeds.len() {
            0 => Err(SeedsError::Empty(text.to_owned())),
            1..=MAX_SEEDS => Ok(Self(seeds)),
            count => Err(SeedsError::TooMany(count)),
        }
    }
}

fn parse(text: &str) -> Result<u64, SeedsError> {
    text.trim()
        .parse()
        .map_err(|_| SeedsError::NotANumber(text.to_owned()))
}
