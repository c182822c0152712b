//! Locking that ignores poisoning.
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also if a holder has panicked: refusing the lock would only spread the panic to every task that shares it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
