//! Settings of the system's allocator for a process with a small memory limit.

/// Size in bytes from which on an allocation is a mapping of its own, which goes back to the system when it is freed. The
/// bodies of large objects are above it.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const MAPPED_ALLOCATION_BYTES: libc::c_int = 128 * 1024;

/// Makes large allocations mappings of their own. By default, the allocator raises this size to that of the largest
/// allocation that was freed. Must be called before other threads are started.
pub fn configure() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    // SAFETY: mallopt has no preconditions, and no other thread uses the allocator yet.
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, MAPPED_ALLOCATION_BYTES);
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
