#pragma once

#include "behaviour.hpp"
#include "run_log.hpp"

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

/// The slots and the queue of one worker. Used by one thread only.
class worker_model {
public:
    worker_model(boost::asio::io_context& context, behaviour start);

    /// Runs a request, waiting for a slot. `deadline_unix_ms` is 0 for none.
    boost::asio::awaitable<run_result> run(
        std::string id, std::string body, std::int64_t deadline_unix_ms);

    void cancel(const std::string& id);
    void set_behaviour(behaviour next) { this->present = std::move(next); }
    const behaviour& get_behaviour() const { return this->present; }
    const run_log& get_log() const { return this->log; }

    /// The body of GET /load.
    std::string load_report();

    /// Calls `done` as soon as no request runs or waits.
    void notify_idle(std::function<void()> done);

private:
    using timer = std::shared_ptr<core::runtime_timer>;

    boost::asio::awaitable<bool> wait_for_slot(const std::string& id);
    boost::asio::awaitable<run_result> use_slot(const std::string& id);
    boost::asio::awaitable<void> wait(
        const std::string& id, core::time_point expiry);
    void release_slot();
    bool fails_now();

    boost::asio::io_context& context;
    behaviour present;
    run_log log;
    core::time_point started;
    int running = 0;
    std::deque<timer> waiting;
    /// What each request waits for: a slot, or the end of its run.
    std::multimap<std::string, timer> waits;
    std::function<void()> on_idle;
    std::string last_report;
    core::time_point last_report_time;
    std::mt19937 random{ 1 };
};

} // namespace pollenward::worker_stand_in
