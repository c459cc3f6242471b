#pragma once

#include "core/runtime_timer.hpp"
#include "platform/backoff.hpp"
#include "platform/listing.hpp"

#include <atomic>
#include <cstdint>
#include <utility>

namespace pollenward::platform {

/// Times of a listing_watch.
struct watch_times {
    /// How long the store holds a watch that has nothing to tell. Its answer
    /// tells that the store is there, also to the daemons that rely on this
    /// one; one that is lost is noticed a second after this time.
    core::milliseconds wait{ 800 };
    /// Pause after changes, so that a burst of them takes one call.
    core::milliseconds settle{ 400 };
    /// Longest pause after a failed call. With the time limit of a call, it
    /// bounds how late the return of the store is noticed.
    core::milliseconds longest_pause{ 500 };
    /// Time between two looks at whether the handler needs the store.
    core::milliseconds idle{ 200 };
};

/// Keeps a handler up to date with the objects of one kind: lists them once
/// and watches for changes, listing again when the history is gone.
template <class Value, class Store, class Handler>
    requires kind_store<Store, Value> && listing_handler<Handler, Value>
class listing_watch {
public:
    listing_watch(
        Store& store, Handler& handler, watch_times times, std::uint64_t seed)
        : store(store)
        , handler(handler)
        , times(times)
        , pause(backoff::make(seed, times.longest_pause))
    {
    }

    /// Runs until stop().
    boost::asio::awaitable<void> run()
    {
        while (!this->stopped)
        {
            if (!this->handler.needs_store(core::runtime_clock::now()))
            {
                co_await core::wait_until(
                    core::runtime_clock::now() + this->times.idle);
                continue;
            }
            this->take_over();
            // GCC 12 destroys both sides of a conditional co_await.
            listing<Value> received;
            if (this->needs_list)
            {
                received = co_await this->store.template list<Value>();
            }
            else
            {
                received = co_await this->store.template watch<Value>(
                    this->seen, this->next_wait());
            }
            if (this->stopped)
            {
                co_return;
            }
            const auto delay = this->take(received);
            if (delay > core::milliseconds::zero())
            {
                co_await core::wait_until(core::runtime_clock::now() + delay);
            }
        }
    }

    void stop() { this->stopped = true; }

private:
    /// Goes on from what the handler has heard from elsewhere.
    void take_over()
    {
        const store_revision known = this->handler.known_revision();
        if (known > this->seen)
        {
            this->seen = known;
            this->needs_list = false;
        }
    }

    /// A lost store is asked for an answer at once, so that its return is
    /// noticed.
    core::milliseconds next_wait() const
    {
        return this->is_lost ? core::milliseconds::zero() : this->times.wait;
    }

    /// Returns the pause before the next call.
    core::milliseconds take(const listing<Value>& received)
    {
        switch (received.get_status())
        {
        case listing_status::failed:
            this->pause = this->pause.after_failure();
            if (!std::exchange(this->is_lost, true))
            {
                this->handler.on_store_lost(received.get_cause());
            }
            return this->pause.get_delay();
        case listing_status::history_gone:
            this->needs_list = true;
            return core::milliseconds::zero();
        case listing_status::complete:
        case listing_status::changes:
            break;
        }
        this->pause = this->pause.after_success();
        if (std::exchange(this->is_lost, false))
        {
            this->handler.on_store_regained();
        }
        const bool is_list = std::exchange(this->needs_list, false);
        this->seen = received.get_revision();
        if (is_list || !received.get_objects().empty())
        {
            this->handler.on_listing(received);
            return this->times.settle;
        }
        this->handler.on_unchanged(received.get_revision());
        return core::milliseconds::zero();
    }

    Store& store;
    Handler& handler;
    watch_times times;
    backoff pause;
    store_revision seen{ 0 };
    bool needs_list = true;
    bool is_lost = false;
    std::atomic<bool> stopped{ false };
};

} // namespace pollenward::platform
