#pragma once

#include "core/runtime_timer.hpp"
#include "platform/backoff.hpp"
#include "platform/object_store.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <concepts>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace pollenward::platform {

/// Receives changed objects. An object may be delivered more than once.
template <class Type>
concept change_handler
    = requires(Type& type, const std::vector<stored_object>& objects) {
          {
              type.handle_changes(objects)
          } -> std::same_as<boost::asio::awaitable<void>>;
      };

/// Watches the store while this daemon is a watcher. One long poll is open at a
/// time; failed polls are retried after a back-off.
template <object_store Store, change_handler Handler>
class platform_watch {
public:
    static constexpr core::milliseconds poll_wait{ 20000 };

    platform_watch(boost::asio::io_context& context, Store& store,
        Handler& handler, std::uint64_t seed)
        : context(context)
        , store(store)
        , handler(handler)
        , seed(seed)
    {
    }

    /// Starts the watch, which first reads all objects. No effect while
    /// watching.
    void start()
    {
        const std::lock_guard lock(this->mutex);
        if (this->active_run)
        {
            return;
        }
        auto next = std::make_shared<run>(this->context);
        this->active_run = next;
        boost::asio::co_spawn(next->strand, this->poll_until_stopped(next),
            boost::asio::bind_cancellation_slot(
                next->cancel.slot(), boost::asio::detached));
    }

    /// Stops the watch and cancels the poll in progress. The handler may still
    /// process objects received before.
    void stop()
    {
        const std::lock_guard lock(this->mutex);
        if (const auto ended = std::exchange(this->active_run, nullptr))
        {
            ended->is_stopped = true;
            boost::asio::post(ended->strand, [ended] {
                ended->cancel.emit(boost::asio::cancellation_type::terminal);
            });
        }
    }

    bool is_watching() const
    {
        const std::lock_guard lock(this->mutex);
        return this->active_run != nullptr;
    }

    /// How often the store was restored from an older state.
    std::uint64_t count_restores() const { return this->restores.load(); }
    std::uint64_t count_failures() const { return this->failures.load(); }

private:
    struct run {
        explicit run(boost::asio::io_context& context)
            : strand(boost::asio::make_strand(context))
        {
        }

        boost::asio::strand<boost::asio::io_context::executor_type> strand;
        boost::asio::cancellation_signal cancel;
        std::atomic<bool> is_stopped{ false };
    };

    boost::asio::awaitable<void> poll_until_stopped(
        std::shared_ptr<run> current_run)
    {
        backoff retry_backoff = backoff::make(this->seed);
        store_revision last_revision;
        while (!current_run->is_stopped)
        {
            const auto result
                = co_await this->store.watch(last_revision, poll_wait);
            if (current_run->is_stopped)
            {
                co_return;
            }
            if (result.is_failed())
            {
                ++this->failures;
                retry_backoff = retry_backoff.after_failure();
                co_await core::wait_until(
                    core::runtime_clock::now() + retry_backoff.get_delay());
                continue;
            }
            retry_backoff = retry_backoff.after_success();
            last_revision = co_await this->process(result, last_revision);
        }
    }

    /// Passes the objects to the handler; returns the revision to poll after.
    boost::asio::awaitable<store_revision> process(
        const watch_result& result, store_revision last_revision)
    {
        const auto revision = result.get_revision();
        const bool is_new_era = last_revision != store_revision()
            && revision.get_era() != last_revision.get_era();
        if (is_new_era || revision < last_revision)
        {
            // The store was restored from an older state: its change list does
            // not contain what was lost, so all objects are read again.
            ++this->restores;
            co_return store_revision();
        }
        if (!result.get_objects().empty())
        {
            co_await this->handler.handle_changes(result.get_objects());
        }
        co_return result.get_revision();
    }

    boost::asio::io_context& context;
    Store& store;
    Handler& handler;
    std::uint64_t seed;
    mutable std::mutex mutex;
    std::shared_ptr<run> active_run;
    std::atomic<std::uint64_t> restores{ 0 };
    std::atomic<std::uint64_t> failures{ 0 };
};

} // namespace pollenward::platform
