//! A model of etcd's store: its keys at each revision, and the changes of each revision.
use pointspindle_etcd::{KeyValue, Revision, WatchEvent};
use std::collections::BTreeMap;

/// Stored keys with their values and the revisions of their last changes.
pub type Keys = BTreeMap<Vec<u8>, (Vec<u8>, Revision)>;

/// A key and its new value, or none to delete it.
pub type Write = (Vec<u8>, Option<Vec<u8>>);

/// One history of a store. Restoring a cluster begins a new one.
pub struct StoreHistory {
    /// Keys at each revision, beginning with revision 1.
    states: Vec<Keys>,
    /// Events of each revision, beginning with revision 1.
    log: Vec<Vec<WatchEvent>>,
    /// Last revision that has been compacted away.
    pub compacted: Revision,
}

impl StoreHistory {
    /// An empty store at revision 1.
    pub fn new() -> Self {
        Self {
            states: vec![Keys::new()],
            log: vec![vec![]],
            compacted: 0,
        }
    }

    /// Returns a copy of the history that ends at an earlier revision.
    pub fn restored_at(&self, revision: usize) -> Self {
        Self {
            states: self.states[..revision].to_vec(),
            log: self.log[..revision].to_vec(),
            compacted: self.compacted.min(revision as Revision),
        }
    }

    pub fn newest(&self) -> &Keys {
        self.states.last().unwrap()
    }

    pub fn events_of(&self, revision: Revision) -> Vec<WatchEvent> {
        self.log[revision as usize - 1].clone()
    }

    pub fn revision(&self) -> Revision {
        self.states.len() as Revision
    }

    pub fn at(&self, revision: Revision) -> &Keys {
        &self.states[revision as usize - 1]
    }

    pub fn commit(&mut self, writes: Vec<Write>) {
        let revision = self.revision() + 1;
        let mut keys = self.states.last().cloned().unwrap_or_default();
        let mut changes = Vec::new();
        for (key, value) in writes {
            match value {
                Some(value) => {
                    keys.insert(key.clone(), (value.clone(), revision));
                    changes.push(WatchEvent::Put(KeyValue {
                        key,
                        value,
                        mod_revision: revision,
                    }));
                }
                None if keys.remove(&key).is_some() => {
                    changes.push(WatchEvent::Delete {
                        key,
                        mod_revision: revision,
                    });
                }
                None => {}
            }
        }
        self.states.push(keys);
        self.log.push(changes);
    }
}
