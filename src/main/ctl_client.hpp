#pragma once

#include "main/ctl_transport.hpp"

#include <string>
#include <vector>

namespace pollenward::main {

/// Sends requests to daemons over HTTP; each call blocks until it ends.
class ctl_client {
public:
    ctl_result get(const core::endpoint& daemon, const std::string& target);
    ctl_result post_patch(
        const core::endpoint& daemon, const operators::patch& wanted);
    void pause(core::milliseconds delay);
};

} // namespace pollenward::main
