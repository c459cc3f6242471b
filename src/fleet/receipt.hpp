#pragma once

#include <compare>
#include <string>
#include <utility>

namespace pollenward::fleet {

/// The reply to messages without a reply type of their own: whether the message
/// was processed and, if not, the cause.
class receipt {
public:
    static receipt accepted() { return {}; }

    static receipt failed(std::string cause)
    {
        receipt made;
        made.failure = true;
        made.cause = std::move(cause);
        return made;
    }

    bool is_failure() const { return this->failure; }
    const std::string& get_cause() const { return this->cause; }

    auto operator<=>(const receipt&) const = default;

private:
    bool failure = false;
    std::string cause;
};

} // namespace pollenward::fleet
