/* Loaded into one dispatcher by LD_PRELOAD: steps its clocks and lets system calls fail, as the control file says.
 * The file holds 64-bit numbers, in the order of `struct control`; injected_faults.rs writes them while the process runs. */
#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

struct fault {
    _Atomic int64_t error; /* errno */
    _Atomic int64_t count; /* calls that are still to fail */
};

struct control {
    _Atomic int64_t wall_offset_ns;
    _Atomic int64_t short_io; /* bytes that a read or write transfers at most; 0: no limit */
    struct fault accept, connect, socket, read, write, wait;
    _Atomic int64_t elapsed_ns; /* added to the monotonic clock and to the wall clock */
};

static struct control no_faults;
static struct control *control = &no_faults;

__attribute__((constructor)) static void open_control(void) {
    const char *path = getenv("FAULTS_CONTROL");
    int fd = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0) return;
    void *mapped = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped != MAP_FAILED) control = mapped;
}

static int fails(struct fault *fault) {
    int64_t left = atomic_load(&fault->count);
    while (left > 0) {
        if (atomic_compare_exchange_weak(&fault->count, &left, left - 1)) {
            errno = (int)atomic_load(&fault->error);
            return 1;
        }
    }
    return 0;
}

static size_t bounded(size_t size) {
    size_t most = (size_t)atomic_load(&control->short_io);
    return most && size > most ? most : size;
}

int clock_gettime(clockid_t id, struct timespec *at) {
    int done = (int)syscall(SYS_clock_gettime, id, at);
    int64_t offset = atomic_load(&control->elapsed_ns);
    if (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE) offset += atomic_load(&control->wall_offset_ns);
    if (done == 0 && offset) {
        int64_t ns = at->tv_sec * 1000000000LL + at->tv_nsec + offset;
        at->tv_sec = ns / 1000000000LL;
        at->tv_nsec = ns % 1000000000LL;
    }
    return done;
}

int accept4(int fd, struct sockaddr *at, socklen_t *size, int flags) {
    return fails(&control->accept) ? -1 : (int)syscall(SYS_accept4, fd, at, size, flags);
}

int connect(int fd, const struct sockaddr *at, socklen_t size) {
    return fails(&control->connect) ? -1 : (int)syscall(SYS_connect, fd, at, size);
}

int socket(int domain, int type, int protocol) {
    return fails(&control->socket) ? -1 : (int)syscall(SYS_socket, domain, type, protocol);
}

ssize_t recv(int fd, void *to, size_t size, int flags) {
    return fails(&control->read) ? -1 : syscall(SYS_recvfrom, fd, to, bounded(size), flags, NULL, NULL);
}

ssize_t send(int fd, const void *from, size_t size, int flags) {
    return fails(&control->write) ? -1 : syscall(SYS_sendto, fd, from, bounded(size), flags, NULL, 0);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    if (fails(&control->write)) return -1;
    struct iovec first = {parts[0].iov_base, bounded(parts[0].iov_len)};
    if (atomic_load(&control->short_io) && count > 0) return syscall(SYS_writev, fd, &first, 1);
    return syscall(SYS_writev, fd, parts, count);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    if (fails(&control->wait)) return -1;
    return (int)syscall(SYS_epoll_pwait, fd, events, most, timeout, NULL, 0);
}
