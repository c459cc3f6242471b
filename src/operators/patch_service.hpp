#pragma once

#include "core/runtime_timer.hpp"
#include "operators/configuration_json.hpp"
#include "operators/patch_json.hpp"
#include "operators/patch_reply.hpp"
#include "operators/patch_rule.hpp"
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

/// Applies operators' patches to the configuration in the platform's store.
template <platform::object_store Store>
class patch_service {
public:
    /// Rounds of reading and writing for one patch; the last one only reads.
    /// With calls of at most 2 s and back-offs of up to 1.6 s they end within
    /// 26 s; what is open then is reported as unknown.
    static constexpr int max_rounds = 6;

    patch_service(Store& store, std::uint64_t seed)
        : store(store)
        , seed(seed)
    {
    }

    /// Applies a patch. `in_force` is the highest configuration number known
    /// to be in force in the fleet.
    boost::asio::awaitable<patch_reply> apply(
        patch wanted, core::version_number in_force)
    {
        auto pause = platform::backoff::make(this->seed + ++this->patch_count);
        lost_version lost;
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
            pause = pause.after_failure();
            co_await core::wait_until(
                core::runtime_clock::now() + pause.get_delay());
        }
        co_return give_up(wanted, lost);
    }

    /// Writes the configuration in force back to a store that was restored
    /// from an older state. Returns whether the store was behind and now holds
    /// it; a lost response is found by the next call.
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
    /// Either a reply, or the configuration to write, or neither: read again.
    struct decision {
        std::optional<patch_reply> reply;
        std::optional<configuration> next;
    };

    /// Version that a write without a response expected to replace.
    using lost_version = std::optional<core::version_number>;

    static core::document_name name()
    {
        return core::document_name("configuration");
    }

    static decision refuse(patch_outcome outcome, core::version_number number,
        std::vector<core::error> faults)
    {
        return { patch_reply::make(outcome, number, std::move(faults)), {} };
    }

    static patch_reply give_up(const patch& wanted, const lost_version& lost)
    {
        return patch_reply::make(
            lost ? patch_outcome::unknown : patch_outcome::unavailable, {},
            { core::error::make("apply patch " + wanted.get_id().str(),
                "platform", "the store gave no usable response") });
    }

    static decision decide(const patch& wanted, core::version_number in_force,
        const platform::read_result& read, const lost_version& lost)
    {
        if (read.get_state() == platform::read_state::unknown)
        {
            // Before the first write there is nothing to settle.
            return lost
                ? decision{}
                : refuse(patch_outcome::unavailable, {}, { read.get_cause() });
        }
        if (!read.get_object())
        {
            return refuse(not_applied_unless(lost), {},
                { core::error::make("read configuration", "platform",
                    "does not exist in the store") });
        }
        std::vector<core::error> faults;
        const auto stored
            = decode_configuration(read.get_object()->get_value(), faults);
        if (!stored)
        {
            return refuse(not_applied_unless(lost), {}, std::move(faults));
        }
        return decide_on(wanted, in_force, *stored, read, lost);
    }

    static decision decide_on(const patch& wanted,
        core::version_number in_force, const configuration& stored,
        const platform::read_result& read, const lost_version& lost)
    {
        const auto number = stored.get_number();
        switch (decide_patch(wanted, stored, in_force))
        {
        case patch_decision::already_applied:
            return refuse(
                lost ? patch_outcome::accepted : patch_outcome::already_applied,
                find_patch(stored, wanted.get_id())->get_number(), {});
        case patch_decision::ambiguous:
            return refuse(patch_outcome::ambiguous, number, {});
        case patch_decision::store_behind:
            return refuse(not_applied_unless(lost), in_force,
                { core::error::make("apply patch", "platform",
                    "the store holds the older configuration "
                        + std::to_string(number.get())) });
        case patch_decision::stale:
            return refuse(is_certainly_lost(wanted, stored, read, lost)
                    ? patch_outcome::stale
                    : patch_outcome::unknown,
                number, {});
        case patch_decision::accepted:
            break;
        }
        std::vector<core::error> faults;
        auto next = apply_patch(wanted, stored, faults);
        return next ? decision{ {}, std::move(next) }
                    : refuse(patch_outcome::invalid, number, std::move(faults));
    }

    static patch_outcome not_applied_unless(const lost_version& lost)
    {
        return lost ? patch_outcome::unknown : patch_outcome::unavailable;
    }

    /// False if a write without a response may have taken effect although the
    /// configuration read does not show its patch.
    static bool is_certainly_lost(const patch& wanted,
        const configuration& stored, const platform::read_result& read,
        const lost_version& lost)
    {
        const auto last_number_with_mark
            = wanted.get_against() + core::version_number(remembered_patches);
        return !lost
            || (stored.get_number() <= last_number_with_mark
                && platform::resolve_by_marker(read, *lost, false)
                    == platform::lost_write_state::superseded);
    }

    Store& store;
    std::uint64_t seed;
    std::atomic<std::uint64_t> patch_count{ 0 };
};

} // namespace pollenward::operators
