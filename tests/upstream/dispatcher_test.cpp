#include "upstream/dispatcher.hpp"

#include "scripted_worker.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

using namespace pollenward;
using namespace pollenward::upstream;
using namespace pollenward::upstream::testing;

namespace {

class fixed_standings {
public:
    std::vector<usable_worker> find(const core::service_id&) const
    {
        return this->all;
    }

    std::vector<usable_worker> all;
};

class result_recorder {
public:
    void record(const core::service_id&, const core::worker_id& worker_id,
        attempt_result result, core::duration, core::time_point)
    {
        const std::lock_guard lock(this->mutex);
        this->seen.emplace_back(worker_id, result);
    }

    void on_crash(const forward_request&, const core::worker_id&,
        core::time_point started_at, core::time_point ended_at)
    {
        CHECK(started_at <= ended_at);
        ++this->crashes;
    }

    std::mutex mutex;
    std::vector<std::pair<core::worker_id, attempt_result>> seen;
    std::atomic<int> crashes{ 0 };
};

using tested_dispatcher = dispatcher<fixed_standings, result_recorder,
    result_recorder, round_robin>;

/// Workers that answer every request with `reply`, and a dispatcher.
class fleet {
public:
    using reply = std::function<std::string(int worker, const std::string& id)>;

    fleet(asio::io_context& context, int workers, reply make_reply)
        : upstreams(context.get_executor(), standings, observed, observed)
    {
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
                            co_return;
                        }
                        ++this->attempts;
                        const auto text = make_reply(i, request_id_of(header));
                        if (text.empty())
                        {
                            co_return;
                        }
                        co_await send_text(socket, text);
                    }
                }));
            this->standings.all.push_back(usable_worker::make(
                this->servers.back()->get_worker("worker-" + std::to_string(i)),
                worker_state::active, 1));
        }
    }

    std::atomic<int> attempts{ 0 };
    fixed_standings standings;
    result_recorder observed;
    tested_dispatcher upstreams;
    std::vector<std::unique_ptr<scripted_worker>> servers;
};

} // namespace

// Guards against requests to a worker that has reported its drain.
TEST_CASE("a worker that reports a drain gets no more requests", "[upstream]")
{
    asio::io_context context;
    fleet tested(context, 2, [](int worker, const std::string& id) {
        return worker == 0 ? refusal_text("draining") : answer_text(id);
    });
    int answered = 0;
    for (int i = 0; i < 40; ++i)
    {
        const auto result = run_to_end(
            context, tested.upstreams.dispatch(make_request("a", false)));
        answered += result.get_response() ? 1 : 0;
        CHECK(result.get_certainty()
            == (result.get_response() ? run_certainty::ran
                                      : run_certainty::not_run));
    }
    // The one refusal comes before the retry budget allows a retry.
    CHECK(answered == 39);
    CHECK(tested.attempts == 40);
}

// Guards against retry storms and second runs in the whole dispatch path.
TEST_CASE("attempts stay bounded when every worker fails", "[upstream]")
{
    for (const bool is_idempotent : { false, true })
    {
        asio::io_context context;
        fleet tested(
            context, 3, [](int, const std::string&) { return std::string(); });
        constexpr int requests = 60;
        for (int i = 0; i < requests; ++i)
        {
            const auto result = run_to_end(context,
                tested.upstreams.dispatch(make_request("a", is_idempotent)));
            CHECK(result.get_certainty() == run_certainty::unknown);
        }
        CHECK(tested.attempts
            == (is_idempotent ? requests + requests / 10 : requests));
        CHECK(tested.observed.crashes == tested.attempts);
    }
}

// Guards against crossed answers and lost counts when several threads share
// the pool and the dispatcher.
TEST_CASE("threads share the dispatcher without crossed answers", "[upstream]")
{
    asio::io_context context;
    fleet tested(
        context, 4, [](int, const std::string& id) { return answer_text(id); });
    std::atomic<int> left{ 16 };
    std::atomic<int> matched{ 0 };
    const auto call = [&](int caller) -> asio::awaitable<void> {
        for (int i = 0; i < 25; ++i)
        {
            const auto id = std::to_string(caller) + "-" + std::to_string(i);
            const auto result
                = co_await tested.upstreams.dispatch(make_request(id, false));
            const auto& response = result.get_response();
            matched += response && response->get_body() == id ? 1 : 0;
        }
        if (--left == 0)
        {
            context.stop();
        }
    };
    for (int caller = 0; caller < 16; ++caller)
    {
        asio::co_spawn(
            asio::make_strand(context), call(caller), asio::detached);
    }
    std::thread second([&] { context.run(); });
    context.run();
    second.join();
    CHECK(matched == 16 * 25);
    for (const auto& each : tested.standings.all)
    {
        CHECK(tested.upstreams.in_flight(each.get_worker().get_id()) == 0);
    }
}
