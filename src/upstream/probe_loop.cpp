#include "upstream/probe_loop.hpp"

#include "upstream/worker_call.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

namespace pollenward::upstream {

namespace {

    constexpr core::milliseconds probe_timeout{ 500 };

    std::optional<double> decode_load(const std::string& body)
    {
        const auto report = nlohmann::json::parse(body, nullptr, false);
        if (!report.is_object())
        {
            return std::nullopt;
        }
        const auto number = [&](const char* name) {
            const auto found = report.find(name);
            return found != report.end() && found->is_number()
                ? std::max(0.0, found->get<double>())
                : 0.0;
        };
        return (number("running") + number("queued"))
            / std::max(1.0, number("slots"));
    }

} // namespace

boost::asio::awaitable<std::optional<double>> probe_worker(const worker& target)
{
    const auto deadline = core::runtime_clock::now() + probe_timeout;
    const auto health = co_await call_worker(
        target.get_address(), "GET", "/health", deadline);
    const auto load
        = co_await call_worker(target.get_address(), "GET", "/load", deadline);
    if (!load)
    {
        co_return std::nullopt;
    }
    const bool is_healthy = health && health->get_status() == 200;
    const auto reported = decode_load(load->get_body());
    co_return reported ? std::optional(*reported + (is_healthy ? 0 : 1))
                       : std::nullopt;
}

} // namespace pollenward::upstream
