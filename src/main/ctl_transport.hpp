#pragma once

#include "core/endpoint.hpp"
#include "core/runtime_clock.hpp"
#include "operators/patch.hpp"

#include <compare>
#include <concepts>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::main {

enum class ctl_delivery {
    /// The whole response was received.
    answered,
    /// The connection failed; the request was not sent.
    not_sent,
    /// The request may have been executed; its response was not received.
    lost
};

/// The result of one request to a daemon.
class ctl_result {
public:
    static ctl_result answered(unsigned status, std::string body)
    {
        return ctl_result(ctl_delivery::answered, status, std::move(body), {});
    }

    static ctl_result not_sent(core::error cause)
    {
        return ctl_result(ctl_delivery::not_sent, 0, {}, std::move(cause));
    }

    static ctl_result lost(core::error cause)
    {
        return ctl_result(ctl_delivery::lost, 0, {}, std::move(cause));
    }

    ctl_delivery get_delivery() const { return this->delivery; }
    unsigned get_status() const { return this->status; }
    const std::string& get_body() const { return this->body; }
    const core::error& get_cause() const { return this->cause; }

    bool is_ok() const
    {
        return this->delivery == ctl_delivery::answered && this->status == 200;
    }

    auto operator<=>(const ctl_result&) const = default;

private:
    ctl_result(ctl_delivery delivery, unsigned status, std::string body,
        core::error cause)
        : delivery(delivery)
        , status(status)
        , body(std::move(body))
        , cause(std::move(cause))
    {
    }

    ctl_delivery delivery;
    unsigned status;
    std::string body;
    core::error cause;
};

/// Sends requests to the admin servers of daemons.
template <class Type>
concept ctl_transport = requires(Type& type, const core::endpoint& daemon,
    const std::string& target, const operators::patch& wanted,
    core::milliseconds delay) {
    {
        type.get(daemon, target)
    } -> std::same_as<ctl_result>;
    {
        type.post_patch(daemon, wanted)
    } -> std::same_as<ctl_result>;
    type.pause(delay);
};

} // namespace pollenward::main
