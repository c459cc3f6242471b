#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "core/units.hpp"
#include "platform/read_result.hpp"
#include "platform/update_result.hpp"
#include "platform/watch_result.hpp"

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <string>

namespace pollenward::platform {

/// The platform's object service: versions, conditional updates, watches.
template <class Type>
concept object_store = requires(Type& type, core::document_name name,
    core::version_number expected, std::string value, store_revision after,
    core::milliseconds wait) {
    {
        type.get(name)
    } -> std::same_as<boost::asio::awaitable<read_result>>;
    {
        type.put(name, expected, value)
    } -> std::same_as<boost::asio::awaitable<update_result>>;
    {
        type.watch(after, wait)
    } -> std::same_as<boost::asio::awaitable<watch_result>>;
};

} // namespace pollenward::platform
