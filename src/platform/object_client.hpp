#pragma once

#include "core/endpoint.hpp"
#include "platform/object_store.hpp"
#include "platform/service_client.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace pollenward::platform {

/// Client of the platform's object service over HTTP and JSON.
class object_client {
public:
    explicit object_client(core::endpoint service);

    /// Reads the newest version of an object.
    boost::asio::awaitable<read_result> get(core::document_name name);

    /// Replaces the object if its version is `expected` (0: if it is absent).
    /// Never repeats the call: after an unknown result the caller must read the
    /// object back, see platform/lost_write.hpp.
    boost::asio::awaitable<update_result> put(core::document_name name,
        core::version_number expected, std::string value);

    /// Waits up to `wait` for a revision other than `after`. With `after` 0,
    /// returns all objects of the store, at once if it has any.
    boost::asio::awaitable<watch_result> watch(
        store_revision after, core::milliseconds wait);

    /// Calls made so far.
    std::uint64_t count_calls(call_kind kind) const
    {
        return this->service.count_calls(kind);
    }
    std::uint64_t count_calls() const { return this->service.count_calls(); }

private:
    service_client service;
};

} // namespace pollenward::platform
