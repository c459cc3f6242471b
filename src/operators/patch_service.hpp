#pragma once

#include "core/runtime_timer.hpp"
#include "operators/configuration_json.hpp"
#include "operators/patch_decision.hpp"
#include "operators/patch_json.hpp"
#include "operators/patch_reply.hpp"
#include "platform/backoff.hpp"
#include "platform/lost_write.hpp"
#include "platform/object_store.hpp"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::operators {

/// Applies operators' patches to the configuration in the platform's store, by
/// conditional updates.
template <platform::object_store Store>
class patch_service {
public:
    /// Maximum read and write rounds for one patch; the last one only reads.
    /// With calls of at most 2 s and back-offs of up to 1.6 s they end within
    /// 26 s. A write whose result is still open then is reported as unknown.
    static constexpr int max_rounds = 6;

    patch_service(Store& store, std::uint64_t seed)
        : store(store)
        , seed(seed)
    {
    }

    /// Applies a patch. `in_force` is the highest configuration number that is
    /// reported as in force in the fleet.
    boost::asio::awaitable<patch_reply> apply(
        patch wanted, core::version_number in_force)
    {
        auto backoff
            = platform::backoff::make(this->seed + ++this->patch_count);
        lost_write_version lost;
        for (int round = 0; round < max_rounds; ++round)
        {
            const auto read = co_await this->store.get(name());
            const auto decided = decide(wanted, in_force, read, lost);
            if (decided.reply)
            {
                co_return *decided.reply;
            }
            if (round + 1 == max_rounds)
            {
                break;
            }
            if (decided.next)
            {
                const auto expected = read.get_object()->get_version();
                const auto written = co_await this->store.put(
                    name(), expected, encode_configuration(*decided.next));
                if (written.get_state() == platform::update_state::applied)
                {
                    co_return patch_reply::make(
                        patch_outcome::accepted, decided.next->get_number());
                }
                if (written.get_state() == platform::update_state::unknown)
                {
                    lost = expected;
                }
            }
            backoff = backoff.after_failure();
            co_await core::wait_until(
                core::runtime_clock::now() + backoff.get_delay());
        }
        co_return make_unresolved_reply(wanted, lost);
    }

    /// Writes the configuration in force back to a store that was restored
    /// from an older state. Returns whether the store was behind and the write
    /// is confirmed. After a lost response the next call reads the result.
    boost::asio::awaitable<bool> write_back(configuration in_force)
    {
        const auto read = co_await this->store.get(name());
        if (read.get_state() == platform::read_state::unknown)
        {
            co_return false;
        }
        const auto& object = read.get_object();
        std::vector<core::error> faults;
        const auto stored = object
            ? decode_configuration(object->get_value(), faults)
            : std::nullopt;
        const bool is_behind
            = stored ? stored->get_number() < in_force.get_number() : !object;
        if (!is_behind)
        {
            co_return false;
        }
        const auto written = co_await this->store.put(name(),
            object ? object->get_version() : core::version_number(0),
            encode_configuration(in_force));
        co_return written.get_state() == platform::update_state::applied;
    }

private:
    /// Either a reply or the configuration to write. If neither is set, the
    /// store must be read again.
    struct decision {
        std::optional<patch_reply> reply;
        std::optional<configuration> next;
    };

    /// Version that a write without a response was conditional on; empty if
    /// every write got a response.
    using lost_write_version = std::optional<core::version_number>;

    static core::document_name name()
    {
        return core::document_name("configuration");
    }

    static decision reply_with(patch_outcome outcome,
        core::version_number number, std::vector<core::error> faults)
    {
        return { patch_reply::make(outcome, number, std::move(faults)), {} };
    }

    static patch_reply make_unresolved_reply(
        const patch& wanted, const lost_write_version& lost)
    {
        return patch_reply::make(
            lost ? patch_outcome::unknown : patch_outcome::unavailable, {},
            { core::error::make("apply patch " + wanted.get_id().str(),
                "platform", "the store returned no usable response") });
    }

    static decision decide(const patch& wanted, core::version_number in_force,
        const platform::read_result& read, const lost_write_version& lost)
    {
        if (read.get_state() == platform::read_state::unknown)
        {
            // Without a lost write there is no open result to resolve.
            return lost ? decision{}
                        : reply_with(patch_outcome::unavailable, {},
                            { read.get_cause() });
        }
        if (!read.get_object())
        {
            return reply_with(unavailable_unless(lost), {},
                { core::error::make("read configuration", "platform",
                    "does not exist in the store") });
        }
        std::vector<core::error> faults;
        const auto stored
            = decode_configuration(read.get_object()->get_value(), faults);
        if (!stored)
        {
            return reply_with(unavailable_unless(lost), {}, std::move(faults));
        }
        return decide_for_stored(wanted, in_force, *stored, read, lost);
    }

    static decision decide_for_stored(const patch& wanted,
        core::version_number in_force, const configuration& stored,
        const platform::read_result& read, const lost_write_version& lost)
    {
        const auto number = stored.get_number();
        switch (decide_patch(wanted, stored, in_force))
        {
        case patch_decision::already_applied:
            return reply_with(
                lost ? patch_outcome::accepted : patch_outcome::already_applied,
                find_patch(stored, wanted.get_id())->get_number(), {});
        case patch_decision::ambiguous:
            return reply_with(patch_outcome::ambiguous, number, {});
        case patch_decision::store_behind:
            return reply_with(unavailable_unless(lost), in_force,
                { core::error::make("apply patch", "platform",
                    "the store contains the older configuration "
                        + std::to_string(number.get())) });
        case patch_decision::stale:
            return reply_with(
                is_certainly_not_applied(wanted, stored, read, lost)
                    ? patch_outcome::stale
                    : patch_outcome::unknown,
                number, {});
        case patch_decision::accepted:
            break;
        }
        std::vector<core::error> faults;
        auto next = apply_patch(wanted, stored, faults);
        return next
            ? decision{ {}, std::move(next) }
            : reply_with(patch_outcome::invalid, number, std::move(faults));
    }

    /// `unknown` after a lost write, `unavailable` otherwise.
    static patch_outcome unavailable_unless(const lost_write_version& lost)
    {
        return lost ? patch_outcome::unknown : patch_outcome::unavailable;
    }

    /// False if a write without a response may have been applied although the
    /// configuration that was read does not record its patch.
    static bool is_certainly_not_applied(const patch& wanted,
        const configuration& stored, const platform::read_result& read,
        const lost_write_version& lost)
    {
        const auto last_number_with_record = wanted.get_base_number()
            + core::version_number(max_recorded_patches);
        return !lost
            || (stored.get_number() <= last_number_with_record
                && platform::resolve_by_marker(read, *lost, false)
                    == platform::lost_write_state::superseded);
    }

    Store& store;
    std::uint64_t seed;
    std::atomic<std::uint64_t> patch_count{ 0 };
};

} // namespace pollenward::operators
