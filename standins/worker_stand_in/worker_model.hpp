#pragma once

#include "behaviour.hpp"
#include "request_counts.hpp"

#include "core/runtime_timer.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace pollenward::worker_stand_in {

enum class run_result { done, failed, shed, draining, expired };

/// Model of a worker with slots and a queue. Used by one thread only.
class worker_model {
public:
    worker_model(boost::asio::io_context& context, behaviour start);

    /// Waits for a slot and runs a request. `deadline_unix_ms` is 0 for none.
    boost::asio::awaitable<run_result> run(
        std::string id, std::string body, std::int64_t deadline_unix_ms);

    void cancel(const std::string& id);
    void set_behaviour(behaviour next)
    {
        this->current_behaviour = std::move(next);
    }
    const behaviour& get_behaviour() const { return this->current_behaviour; }
    const request_counts& get_counts() const { return this->counts; }

    /// The body of GET /load.
    std::string load_report();

    /// Calls `done` once no request runs or waits.
    void call_when_idle(std::function<void()> done);

private:
    using timer = std::shared_ptr<core::runtime_timer>;

    boost::asio::awaitable<bool> wait_for_slot(const std::string& id);
    boost::asio::awaitable<run_result> run_in_slot(const std::string& id);
    boost::asio::awaitable<void> wait(
        const std::string& id, core::time_point expiry);
    void release_slot();
    bool draw_failure();

    boost::asio::io_context& context;
    behaviour current_behaviour;
    request_counts counts;
    core::time_point started;
    int running = 0;
    std::deque<timer> waiting;
    /// Timers by request id: of the wait for a slot, of the run, or of the
    /// delay of the answer.
    std::multimap<std::string, timer> waits;
    std::function<void()> on_idle;
    std::string last_report;
    core::time_point last_report_time;
    std::mt19937 random{ 1 };
};

} // namespace pollenward::worker_stand_in
