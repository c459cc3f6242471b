#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/header_field.hpp"
#include "core/runtime_clock.hpp"
#include "core/sharded_map.hpp"

#include <boost/asio/awaitable.hpp>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace pollenward::platform {

/// Kinds of call that the platform counts.
enum class call_kind : std::size_t { get, put, watch };
inline constexpr std::size_t call_kind_count = 3;

/// One call to the object service.
struct service_call {
    call_kind kind = call_kind::get;
    std::string method;
    std::string target;
    core::header_fields headers{};
    std::string body{};
    core::duration timeout{};
    /// While the response arrives, the call goes on for this long after each
    /// piece of it: a large response on a slow link is not a lost one.
    core::duration progress_timeout{};
};

/// The reply to a call; a status of 0 means that there was no whole response,
/// for the reason in `cause`.
struct service_reply {
    unsigned status = 0;
    core::header_fields headers{};
    std::string body{};
    std::string cause{};
    /// The server closed a reused connection without a byte of response.
    bool is_stale_connection = false;
};

/// HTTP connections to the platform's object service. They are kept alive per
/// kind of call, so that a waiting watch delays no other call.
class service_client {
public:
    explicit service_client(core::endpoint service);
    ~service_client();
    service_client(const service_client&) = delete;
    service_client& operator=(const service_client&) = delete;

    /// Sends the call. Only reads are sent again, once, when a reused
    /// connection turns out to be closed: a write may have been applied.
    boost::asio::awaitable<service_reply> call(service_call call);

    /// Calls made so far. The platform bills each one.
    std::uint64_t count_calls(call_kind kind) const;
    std::uint64_t count_calls() const;

    core::error make_error(
        const std::string& step, const std::string& cause) const;

private:
    struct connection;
    using idle_list = std::vector<std::unique_ptr<connection>>;

    /// Nothing, with the cause, if the service could not be reached.
    boost::asio::awaitable<std::unique_ptr<connection>> connect(
        std::string& cause) const;
    boost::asio::awaitable<service_reply> exchange(
        std::unique_ptr<connection> opened, const service_call& call,
        core::time_point& expiry);
    std::unique_ptr<connection> acquire_idle(call_kind kind);
    void store_idle(call_kind kind, std::unique_ptr<connection> opened);

    core::endpoint service;
    std::array<std::atomic<std::uint64_t>, call_kind_count> calls{};
    core::sharded_map<call_kind, idle_list, call_kind_count> idle;
};

} // namespace pollenward::platform
