//! Locking that ignores poisoning.
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a holder has panicked: a connection whose state is inconsistent fails by itself, while refusing
/// the lock would panic in every task that shares it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
