#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "platform/stored_object.hpp"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstdint>
#include <optional>

namespace pollenward::platform {

/// Client of the platform's object service over HTTP and JSON.
class object_client {
public:
    explicit object_client(core::endpoint service);

    /// The newest version of an object; nothing, with the reason, if it does
    /// not exist or the service did not answer in time.
    boost::asio::awaitable<std::optional<stored_object>> get(
        core::document_name name, core::error& reason);

    /// Calls made so far. The platform bills each one.
    std::uint64_t count_calls() const { return this->calls.load(); }

private:
    core::endpoint service;
    std::atomic<std::uint64_t> calls{ 0 };
};

} // namespace pollenward::platform
