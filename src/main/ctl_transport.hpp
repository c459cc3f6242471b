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
    /// The response arrived whole.
    answered,
    /// The daemon was not reached; it has not seen the request.
    not_sent,
    /// The request may have been executed; its response did not arrive.
    lost
};

/// What became of one request to a daemon.
class ctl_answer {
public:
    static ctl_answer answered(unsigned status, std::string body)
    {
        return ctl_answer(ctl_delivery::answered, status, std::move(body), {});
    }

    static ctl_answer not_sent(core::error cause)
    {
        return ctl_answer(ctl_delivery::not_sent, 0, {}, std::move(cause));
    }

    static ctl_answer lost(core::error cause)
    {
        return ctl_answer(ctl_delivery::lost, 0, {}, std::move(cause));
    }

    ctl_delivery get_delivery() const { return this->delivery; }
    unsigned get_status() const { return this->status; }
    const std::string& get_body() const { return this->body; }
    const core::error& get_cause() const { return this->cause; }

    bool is_ok() const
    {
        return this->delivery == ctl_delivery::answered && this->status == 200;
    }

    auto operator<=>(const ctl_answer&) const = default;

private:
    ctl_answer(ctl_delivery delivery, unsigned status, std::string body,
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
    } -> std::same_as<ctl_answer>;
    {
        type.post_patch(daemon, wanted)
    } -> std::same_as<ctl_answer>;
    type.pause(delay);
};

} // namespace pollenward::main
