#pragma once

#include "core/runtime_timer.hpp"
#include "platform/backoff.hpp"
#include "platform/listing.hpp"

#include <atomic>
#include <cstdint>
#include <utility>

namespace pollenward::platform {

/// Timing of a listing_watch.
struct watch_times {
    /// Time after which the store answers a watch without changes. The answer
    /// shows that the store is reachable, also for the daemons that rely on
    /// this one; a lost answer is detected one second after this time.
    core::milliseconds poll_wait{ 800 };
    /// Pause after changes, so that one call returns a burst of them.
    core::milliseconds pause_after_changes{ 400 };
    /// Longest pause after a failed call. With the time limit of a call, it
    /// bounds how late the recovery of the store is detected.
    core::milliseconds max_retry_delay{ 500 };
    /// Interval at which the handler is asked whether it needs the store.
    core::milliseconds need_check_interval{ 200 };
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
        , retry_backoff(backoff::make(seed, times.max_retry_delay))
    {
    }

    /// Runs until stop().
    boost::asio::awaitable<void> run()
    {
        while (!this->stopped)
        {
            if (!this->handler.needs_store(core::runtime_clock::now()))
            {
                co_await core::wait_until(core::runtime_clock::now()
                    + this->times.need_check_interval);
                continue;
            }
            this->resume_from_handler();
            // GCC 12 destroys both sides of a conditional co_await.
            listing<Value> received;
            if (this->needs_list)
            {
                received = co_await this->store.template list<Value>();
            }
            else
            {
                received = co_await this->store.template watch<Value>(
                    this->last_revision, this->next_wait());
            }
            if (this->stopped)
            {
                co_return;
            }
            this->check_era(received);
            const auto delay = this->process(
                received.in_era_unless_stated(this->last_revision.get_era()));
            if (delay > core::milliseconds::zero())
            {
                co_await core::wait_until(core::runtime_clock::now() + delay);
            }
        }
    }

    void stop() { this->stopped = true; }

private:
    /// Continues from the revision that the handler has from another source.
    void resume_from_handler()
    {
        const store_revision known = this->handler.known_revision();
        if (known > this->last_revision)
        {
            this->last_revision = known;
            this->needs_list = false;
        }
    }

    /// A lost store is asked to answer at once, so that its recovery is
    /// detected.
    core::milliseconds next_wait() const
    {
        return this->is_lost ? core::milliseconds::zero()
                             : this->times.poll_wait;
    }

    /// Reports the first reply without an era.
    void check_era(const listing<Value>& received)
    {
        const bool has_revision
            = received.get_status() == listing_status::complete
            || received.get_status() == listing_status::changes;
        const bool is_unstated = has_revision
            && received.get_revision().get_era() == core::store_era(0);
        if (is_unstated && !std::exchange(this->has_unstated, true))
        {
            this->handler.on_era_unstated();
        }
    }

    /// Processes a reply and returns the delay before the next call.
    core::milliseconds process(const listing<Value>& received)
    {
        switch (received.get_status())
        {
        case listing_status::failed:
            this->retry_backoff = this->retry_backoff.after_failure();
            if (!std::exchange(this->is_lost, true))
            {
                this->handler.on_store_lost(received.get_cause());
            }
            return this->retry_backoff.get_delay();
        case listing_status::history_gone:
            this->list_again(this->last_revision);
            return core::milliseconds::zero();
        case listing_status::complete:
        case listing_status::changes:
            break;
        }
        const auto era = received.get_revision().get_era();
        if (era < this->last_revision.get_era())
        {
            // A late reply of the store as it was before it was restored.
            this->retry_backoff = this->retry_backoff.after_failure();
            this->handler.on_listing(received);
            return this->retry_backoff.get_delay();
        }
        this->retry_backoff = this->retry_backoff.after_success();
        if (std::exchange(this->is_lost, false))
        {
            this->handler.on_store_regained();
        }
        if (era > this->last_revision.get_era() && !this->needs_list)
        {
            // The changes since this number in another era: not those that the
            // copy lacks.
            this->list_again(store_revision::make(era, 0));
            return core::milliseconds::zero();
        }
        const bool is_list = std::exchange(this->needs_list, false);
        this->last_revision = received.get_revision();
        if (is_list)
        {
            this->on_list(received);
            return this->times.pause_after_changes;
        }
        if (!received.get_objects().empty())
        {
            this->handler.on_listing(received);
            return this->times.pause_after_changes;
        }
        this->handler.on_unchanged(received.get_revision());
        return core::milliseconds::zero();
    }

    /// Interrupts the watch until everything is listed again, at `least` or
    /// later.
    void list_again(store_revision least)
    {
        if (!std::exchange(this->needs_list, true))
        {
            this->interrupted_at = this->last_revision;
            this->interrupted_since = core::runtime_clock::now();
        }
        this->last_revision = least;
    }

    void on_list(const listing<Value>& received)
    {
        this->handler.on_listing(received);
        const auto from = this->interrupted_at;
        const auto revision = received.get_revision();
        if (from != store_revision() && from.get_era() < revision.get_era())
        {
            this->handler.on_store_restored(from, revision,
                core::runtime_clock::now() - this->interrupted_since);
        }
    }

    Store& store;
    Handler& handler;
    watch_times times;
    backoff retry_backoff;
    store_revision last_revision;
    bool has_unstated = false;
    bool needs_list = true;
    /// Position and time of the last interruption of the watch.
    store_revision interrupted_at;
    core::time_point interrupted_since;
    bool is_lost = false;
    std::atomic<bool> stopped{ false };
};

} // namespace pollenward::platform
