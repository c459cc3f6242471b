#pragma once

#include "platform/object_store.hpp"

#include <functional>
#include <optional>
#include <string>
#include <utility>

/// Object store with one object in memory that simulates faults of the
/// platform. Each fault applies to the next calls of its type.
class fake_store {
public:
    boost::asio::awaitable<pollenward::platform::read_result> get(
        pollenward::core::document_name name)
    {
        using namespace pollenward;
        if (this->failed_reads > 0)
        {
            --this->failed_reads;
            co_return platform::read_result::unknown(make_lost_error());
        }
        co_return platform::read_result::found(
            platform::stored_object::make(name, this->version, this->value));
    }

    boost::asio::awaitable<pollenward::platform::update_result> put(
        pollenward::core::document_name,
        pollenward::core::version_number expected, std::string next)
    {
        using namespace pollenward;
        if (const auto before = std::exchange(this->before_put, {}))
        {
            before();
        }
        if (this->lost_requests > 0)
        {
            --this->lost_requests;
            co_return platform::update_result::unknown(make_lost_error());
        }
        const bool is_written = expected == this->version;
        if (is_written)
        {
            this->version = this->version + core::version_number(1);
            this->value = std::move(next);
        }
        if (this->lost_responses > 0)
        {
            --this->lost_responses;
            co_return platform::update_result::unknown(make_lost_error());
        }
        co_return is_written ? platform::update_result::applied(this->version)
                             : platform::update_result::conflict(this->version);
    }

    boost::asio::awaitable<pollenward::platform::watch_result> watch(
        pollenward::platform::store_revision, pollenward::core::milliseconds)
    {
        co_return pollenward::platform::watch_result::failed(make_lost_error());
    }

    static pollenward::core::error make_lost_error()
    {
        return pollenward::core::error::make("call", "fake store", "lost");
    }

    pollenward::core::version_number version{ 1 };
    std::string value;
    int failed_reads = 0;
    /// Number of writes left that are not applied and get no response.
    int lost_requests = 0;
    /// Number of writes left that are applied and get no response.
    int lost_responses = 0;
    std::function<void()> before_put;
};
