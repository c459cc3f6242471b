#pragma once

#include "one_timeout.hpp"
#include "scripted_worker.hpp"
#include "upstream/placing_dispatcher.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::upstream::testing {

/// The native codec, for workers that report no load.
struct codec_without_load : native_worker_codec {
    static constexpr bool cancels_by_request = false;

    static std::optional<std::pair<double, double>> load_of(
        const response_message& /*response*/)
    {
        return std::nullopt;
    }
};

struct crash_counter {
    void on_crash(const forward_request&, const core::worker_id&,
        core::time_point started_at, core::time_point ended_at)
    {
        CHECK(started_at <= ended_at);
        ++this->crashes;
    }

    std::atomic<int> crashes{ 0 };
};

/// Workers that answer every request with `reply`; an empty reply closes the
/// connection, "hang" leaves the request without an answer.
template <class Codec = codec_without_load>
class basic_placed_fleet {
public:
    using reply = std::function<std::string(int worker, const std::string& id)>;

    basic_placed_fleet(asio::io_context& context, int workers, reply make_reply)
        : placement(zone_map::make(core::zone_id("zone"),
            { { core::zone_id("zone"), core::region_id("region") } }))
        , sender(context.get_executor(), placement, crashes,
              retry_limits{ 1, 100, core::seconds(10) }, {}, {}, timeouts)
    {
        std::vector<listed_worker> listed;
        for (int i = 0; i < workers; ++i)
        {
            this->servers.push_back(std::make_unique<scripted_worker>(context,
                [this, i, make_reply](
                    tcp::socket& socket, int) -> asio::awaitable<void> {
                    while (true)
                    {
                        const auto header = co_await read_header(socket);
                        if (header.empty())
                        {
                            ++this->closed;
                            co_return;
                        }
                        ++this->arrivals;
                        const auto text = make_reply(i, request_id_of(header));
                        if (text.empty())
                        {
                            co_return;
                        }
                        if (text != "hang")
                        {
                            co_await core::wait_until(
                                core::runtime_clock::now() + this->work_time);
                            co_await send_text(socket, text);
                        }
                    }
                }));
            listed.push_back(listed_worker::make(
                this->servers.back()->get_worker("w" + std::to_string(i)),
                core::service_id("service"), core::slot_count(6),
                core::milliseconds(0), 1, 1));
        }
        this->placement.store_listed(listed);
    }

    std::atomic<int> arrivals{ 0 };
    std::atomic<int> closed{ 0 };
    core::milliseconds work_time{};
    one_timeout timeouts;
    crash_counter crashes;
    placement_state placement;
    placing_dispatcher<Codec, crash_counter, one_timeout> sender;
    std::vector<std::unique_ptr<scripted_worker>> servers;
};

using placed_fleet = basic_placed_fleet<>;

/// Dispatches the request, then lets its remaining sends end.
template <class Fleet>
dispatch_result dispatch_and_settle(
    asio::io_context& context, Fleet& fleet, forward_request request)
{
    const auto scenario = [&]() -> asio::awaitable<dispatch_result> {
        auto result = co_await fleet.sender.dispatch(request);
        co_await core::wait_until(
            core::runtime_clock::now() + core::milliseconds(50));
        co_return result;
    };
    return run_to_end(context, scenario());
}

} // namespace pollenward::upstream::testing
