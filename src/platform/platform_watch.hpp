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

/// Receives changed objects. An object may be handed over more than once.
template <class Type>
concept change_handler
    = requires(Type& type, const std::vector<stored_object>& objects) {
          {
              type.handle_changes(objects)
          } -> std::same_as<boost::asio::awaitable<void>>;
      };

/// Watches the store while this daemon is a watcher. One long poll is open at
/// a time; failures are repeated after a back-off.
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

    /// Starts to watch, first reading all objects. No effect while watching.
    void start()
    {
        const std::lock_guard lock(this->mutex);
        if (this->present)
        {
            return;
        }
        auto next = std::make_shared<run>(this->context);
        this->present = next;
        boost::asio::co_spawn(next->strand, this->poll_all(next),
            boost::asio::bind_cancellation_slot(
                next->cancel.slot(), boost::asio::detached));
    }

    /// Ends the watch; the poll in progress is cancelled. The handler may
    /// still be at work on objects received before.
    void stop()
    {
        const std::lock_guard lock(this->mutex);
        if (const auto ended = std::exchange(this->present, nullptr))
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
        return this->present != nullptr;
    }

    /// How often the store's revision went back.
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

    boost::asio::awaitable<void> poll_all(std::shared_ptr<run> mine)
    {
        backoff pause = backoff::make(this->seed);
        store_revision seen(0);
        while (!mine->is_stopped)
        {
            const auto result = co_await this->store.watch(seen, poll_wait);
            if (mine->is_stopped)
            {
                co_return;
            }
            if (result.is_failed())
            {
                ++this->failures;
                pause = pause.after_failure();
                co_await core::wait_until(
                    core::runtime_clock::now() + pause.get_delay());
                continue;
            }
            pause = pause.after_success();
            seen = co_await this->take(result, seen);
        }
    }

    /// Hands the objects over; returns the revision to poll after.
    boost::asio::awaitable<store_revision> take(
        const watch_result& result, store_revision seen)
    {
        if (result.get_revision() < seen)
        {
            // The store was restored from an older state: its change list says
            // nothing about what was lost, so everything is read anew.
            ++this->restores;
            co_return store_revision(0);
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
    std::shared_ptr<run> present;
    std::atomic<std::uint64_t> restores{ 0 };
    std::atomic<std::uint64_t> failures{ 0 };
};

} // namespace pollenward::platform
