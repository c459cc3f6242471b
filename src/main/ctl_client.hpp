#pragma once

#include "main/ctl_transport.hpp"

#include <string>
#include <vector>

namespace pollenward::main {

/// Requests to daemons over HTTP; each call blocks until its end.
class ctl_client {
public:
    ctl_answer get(const core::endpoint& daemon, const std::string& target);
    ctl_answer post_patch(
        const core::endpoint& daemon, const operators::patch& wanted);
    void pause(core::milliseconds delay);
};

} // namespace pollenward::main
