#include "worker_model.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace pollenward::worker_stand_in {

namespace asio = boost::asio;

namespace {

    constexpr int crash_status = 70;
    constexpr int cold_start_factor = 4;

    bool has_passed(std::int64_t deadline_unix_ms)
    {
        const auto now = std::chrono::duration_cast<core::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        return deadline_unix_ms != 0 && now.count() > deadline_unix_ms;
    }

} // namespace

worker_model::worker_model(asio::io_context& context, behaviour start)
    : context(context)
    , current_behaviour(std::move(start))
    , started(core::runtime_clock::now())
{
}

asio::awaitable<void> worker_model::wait(
    const std::string& id, core::time_point expiry)
{
    const auto wait_timer
        = std::make_shared<core::runtime_timer>(this->context, expiry);
    const auto entry = this->waits.emplace(id, wait_timer);
    boost::system::error_code ignored;
    co_await wait_timer->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    this->waits.erase(entry);
}

asio::awaitable<bool> worker_model::wait_for_slot(const std::string& id)
{
    const auto wait_timer = std::make_shared<core::runtime_timer>(
        this->context, core::time_point::max());
    const auto entry = this->waits.emplace(id, wait_timer);
    this->waiting.push_back(wait_timer);
    boost::system::error_code ignored;
    co_await wait_timer->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    this->waits.erase(entry);
    const auto position
        = std::find(this->waiting.begin(), this->waiting.end(), wait_timer);
    const bool was_cancelled = position != this->waiting.end();
    if (was_cancelled)
    {
        this->waiting.erase(position);
    }
    co_return !was_cancelled;
}

void worker_model::release_slot()
{
    if (!this->waiting.empty())
    {
        // The first waiting request gets the slot.
        const auto next = this->waiting.front();
        this->waiting.pop_front();
        next->cancel();
        return;
    }
    --this->running;
    if (this->running == 0 && this->on_idle)
    {
        this->on_idle();
    }
}

bool worker_model::draw_failure()
{
    const auto flap = this->current_behaviour.get_flap_interval();
    const auto age = core::runtime_clock::now() - this->started;
    const bool is_down
        = flap > core::milliseconds::zero() && (age / flap) % 2 == 1;
    return is_down
        || std::uniform_real_distribution<>(0, 1)(this->random)
        < this->current_behaviour.get_fail_share();
}

asio::awaitable<run_result> worker_model::run_in_slot(const std::string& id)
{
    this->counts.count_run(id);
    if (this->current_behaviour.is_hanging())
    {
        co_await this->wait(id, core::time_point::max());
    }
    const auto now = core::runtime_clock::now();
    const bool is_cold
        = now < this->started + this->current_behaviour.get_cold_start();
    const bool fails = this->draw_failure();
    co_await this->wait(id,
        now
            + this->current_behaviour.get_service_time()
                * (is_cold ? cold_start_factor : 1));
    co_return fails ? run_result::failed : run_result::done;
}

asio::awaitable<run_result> worker_model::run(
    std::string id, std::string body, std::int64_t deadline_unix_ms)
{
    if (this->current_behaviour.is_draining())
    {
        this->counts.count_refused();
        co_return run_result::draining;
    }
    if (this->running >= this->current_behaviour.get_slots())
    {
        if (this->waiting.size() >= static_cast<std::size_t>(
                this->current_behaviour.get_queue_limit()))
        {
            this->counts.count_shed();
            co_return run_result::shed;
        }
        if (!co_await this->wait_for_slot(id))
        {
            co_return run_result::expired;
        }
    }
    else
    {
        ++this->running;
    }
    if (has_passed(deadline_unix_ms))
    {
        this->counts.count_expired();
        this->release_slot();
        co_return run_result::expired;
    }
    const std::string& crash_text = this->current_behaviour.get_crash_text();
    if (!crash_text.empty() && body.find(crash_text) != std::string::npos)
    {
        std::_Exit(crash_status);
    }
    const auto result = co_await this->run_in_slot(id);
    this->release_slot();
    co_await this->wait(id,
        core::runtime_clock::now()
            + this->current_behaviour.get_answer_delay());
    co_return result;
}

void worker_model::cancel(const std::string& id)
{
    const auto [first, last] = this->waits.equal_range(id);
    for (auto each = first; each != last; ++each)
    {
        this->counts.count_cancelled();
        each->second->cancel();
    }
}

std::string worker_model::load_report()
{
    if (!this->current_behaviour.get_load_report().empty())
    {
        return this->current_behaviour.get_load_report();
    }
    const auto now = core::runtime_clock::now();
    const bool is_due = this->last_report.empty()
        || now >= this->last_report_time
                + this->current_behaviour.get_report_lag();
    if (is_due)
    {
        const nlohmann::json report
            = { { "slots", this->current_behaviour.get_slots() },
                  { "running", this->running },
                  { "queued", this->waiting.size() },
                  { "draining", this->current_behaviour.is_draining() } };
        this->last_report = report.dump();
        this->last_report_time = now;
    }
    return this->last_report;
}

void worker_model::call_when_idle(std::function<void()> done)
{
    this->on_idle = std::move(done);
    if (this->running == 0)
    {
        this->on_idle();
    }
}

} // namespace pollenward::worker_stand_in
