//! The seeds of a command that plays many runs.
use std::str::FromStr;

const MAX_SEEDS: usize = 100_000;

/// Why something names no seeds.
#[derive(Debug, thiserror::Error)]
pub enum SeedsError {
    /// Not a number.
    #[error("{0:?} is no seed")]
    NotANumber(String),
    /// A range without numbers.
    #[error("{0:?} holds no seed")]
    Empty(String),
    /// More than can be played.
    #[error("{0} seeds; 100,000 at most")]
    TooMany(usize),
}

/// Seeds as `1..20` (both included) or `3,5,9`.
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
