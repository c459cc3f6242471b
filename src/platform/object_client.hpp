#pragma once

#include "core/endpoint.hpp"
#include "core/sharded_map.hpp"
#include "platform/object_store.hpp"

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

/// Client of the platform's object service over HTTP and JSON. Connections are
/// kept alive per kind of call, so that a waiting watch delays no other call.
class object_client {
public:
    explicit object_client(core::endpoint service);
    ~object_client();
    object_client(const object_client&) = delete;
    object_client& operator=(const object_client&) = delete;

    /// The newest version of an object.
    boost::asio::awaitable<read_result> get(core::document_name name);

    /// Replaces the object if its version is `expected` (0: if it is absent).
    /// Never repeats the call: after an unknown result the caller has to read
    /// back, see platform/lost_write.hpp.
    boost::asio::awaitable<update_result> put(core::document_name name,
        core::version_number expected, std::string value);

    /// Waits up to `wait` for a revision other than `after`. With `after` 0,
    /// returns all objects of the store, at once if it has any.
    boost::asio::awaitable<watch_result> watch(
        store_revision after, core::milliseconds wait);

    /// Calls made so far. The platform bills each one.
    std::uint64_t count_calls(call_kind kind) const;
    std::uint64_t count_calls() const;

private:
    struct connection;
    struct reply;
    using idle_list = std::vector<std::unique_ptr<connection>>;

    boost::asio::awaitable<reply> call(call_kind kind, std::string method,
        std::string target, std::string if_match, std::string body,
        core::duration limit);
    /// Nothing, with the cause, if the service could not be reached.
    boost::asio::awaitable<std::unique_ptr<connection>> connect(
        std::string& cause) const;
    boost::asio::awaitable<reply> exchange(call_kind kind,
        std::unique_ptr<connection> used, std::string method,
        std::string target, std::string if_match, std::string body);
    std::unique_ptr<connection> take_idle(call_kind kind);
    void keep_idle(call_kind kind, std::unique_ptr<connection> used);
    core::error fault(const std::string& step, const std::string& cause) const;

    core::endpoint service;
    std::array<std::atomic<std::uint64_t>, call_kind_count> calls{};
    core::sharded_map<call_kind, idle_list, call_kind_count> idle;
};

} // namespace pollenward::platform
