#pragma once

// Only transport files include this header.

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pollenward::core {

/// When the kernel closes an unresponsive TCP connection.
struct keepalive_times {
    /// Idle time before the first probe, in seconds.
    int idle_seconds;
    /// Time between probes, in seconds.
    int interval_seconds;
    /// Unanswered probes after which the connection is reset.
    int probes;
    /// Time that sent data may stay unacknowledged, in milliseconds.
    int user_timeout_ms;
};

/// Lets the kernel close connections whose peer or path has failed. Errors are
/// ignored: every exchange has a time limit of its own.
inline void set_keepalive(int socket, const keepalive_times& times)
{
    const auto set = [&](int level, int name, int value) {
        ::setsockopt(socket, level, name, &value, sizeof value);
    };
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, times.idle_seconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, times.interval_seconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, times.probes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, times.user_timeout_ms);
}

} // namespace pollenward::core
