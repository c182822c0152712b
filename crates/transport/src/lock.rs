//! Mutex locking that ignores poisoning.
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex even if a thread has panicked while holding it: failing here would only spread the panic to every task
/// that shares the mutex.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
