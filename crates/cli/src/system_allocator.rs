//! Settings of the system's allocator for a process with a small memory limit.

/// Size in bytes from which on an allocation is a mapping of its own. Bodies are below it: a mapping costs a page fault for
/// every 4 KiB.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const MAPPED_ALLOCATION_BYTES: libc::c_int = 1024 * 1024;
/// Size in bytes of the free memory at the end of the heap from which on it goes back to the system. Memory of this size
/// is reused without page faults; [`release_free_memory`] returns it while memory is short.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const RETAINED_HEAP_BYTES: libc::c_int = 16 * 1024 * 1024;

/// Sets how much freed memory is retained. Must be called before other threads are started.
pub fn configure() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    // SAFETY: mallopt has no preconditions, and no other thread uses the allocator yet.
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, MAPPED_ALLOCATION_BYTES);
        libc::mallopt(libc::M_TRIM_THRESHOLD, RETAINED_HEAP_BYTES);
    }
}

/// Returns free memory that the allocator retains to the system.
pub fn release_free_memory() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    // SAFETY: malloc_trim has no preconditions.
    unsafe {
        libc::malloc_trim(0);
    }
}
