//! Counts the memory that each client connection occupies with incomplete requests, and decides which connection has
//! to give some up. This module performs no I/O.
//!
//! The connection that occupies most gives up first. Connections on which no request has been accepted yet have a
//! smaller limit together, so that new clients cannot take all of the memory from those that are being served.
use std::collections::BTreeMap;

/// Divisor of the limit that gives the limit of all connections together on which no request has been accepted yet.
const NEW_CONNECTIONS_DIVISOR: usize = 2;

/// Divisor of the limit that gives the limit while the memory of the process is exhausted.
const EXHAUSTED_DIVISOR: usize = 4;

/// Number of a connection, unique within an [`InputLedger`].
pub(super) type AccountId = u64;

#[derive(Debug, Default)]
struct Account {
    bytes: usize,
    /// Whether a request has been accepted on the connection.
    is_established: bool,
}

/// The memory occupied by each connection; one entry for each open connection.
#[derive(Debug)]
pub(super) struct InputLedger {
    max_bytes: usize,
    accounts: BTreeMap<AccountId, Account>,
    last_id: AccountId,
    total_bytes: usize,
    /// Part of `total_bytes` that belongs to connections that are not established.
    new_bytes: usize,
}

impl InputLedger {
    /// Creates a ledger without connections.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            accounts: BTreeMap::new(),
            last_id: 0,
            total_bytes: 0,
            new_bytes: 0,
        }
    }

    /// Adds a connection that occupies no memory.
    pub fn open(&mut self) -> AccountId {
        self.last_id += 1;
        self.accounts.insert(self.last_id, Account::default());
        self.last_id
    }

    /// Removes a connection.
    pub fn close(&mut self, id: AccountId) {
        self.set_bytes(id, 0);
        self.accounts.remove(&id);
    }

    /// Records the memory that a connection occupies now.
    pub fn set_bytes(&mut self, id: AccountId, bytes: usize) {
        let Some(account) = self.accounts.get_mut(&id) else {
            return;
        };
        let before = std::mem::replace(&mut account.bytes, bytes);
        self.total_bytes = self.total_bytes - before + bytes;
        if !account.is_established {
            self.new_bytes = self.new_bytes - before + bytes;
        }
    }

    /// Records that a request has been accepted on a connection.
    pub fn mark_established(&mut self, id: AccountId) {
        let Some(account) = self.accounts.get_mut(&id) else {
            return;
        };
        if !std::mem::replace(&mut account.is_established, true) {
            self.new_bytes -= account.bytes;
        }
    }

    /// Returns the connection that has to give up some of its memory, and how much it occupies; `None` while no limit
    /// is exceeded. The limit is smaller while the memory of the process is exhausted.
    pub fn over_limit(&self, is_exhausted: bool) -> Option<(AccountId, usize)> {
        let new_only = self.new_bytes > self.max_bytes / NEW_CONNECTIONS_DIVISOR;
        let max_bytes = match is_exhausted {
            true => self.max_bytes / EXHAUSTED_DIVISOR,
            false => self.max_bytes,
        };
        if !new_only && self.total_bytes <= max_bytes {
            return None;
        }
        let accounts = self.accounts.iter();
        accounts
            .filter(|(_, account)| !(new_only && account.is_established))
            .map(|(id, account)| (*id, account.bytes))
            .max_by_key(|(_, bytes)| *bytes)
    }

    /// Returns the memory that all connections occupy.
    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }
}

#[cfg(test)]
mod tests;
