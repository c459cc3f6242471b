#include "fleet/message_codec.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <iostream>

using namespace pollenward;
using namespace pollenward::fleet;

namespace {

using rc::gen::arbitrary;
using rc::gen::inRange;

std::string text()
{
    return *rc::gen::resize(40, arbitrary<std::string>());
}

std::uint64_t number()
{
    return *arbitrary<std::uint64_t>();
}

std::uint32_t small()
{
    return *arbitrary<std::uint32_t>();
}

double real()
{
    return *arbitrary<double>();
}

/// Counts are encoded in single precision.
double count()
{
    return static_cast<double>(static_cast<float>(real()));
}

core::milliseconds span()
{
    return core::milliseconds(*inRange(0, 1'000'000));
}

core::version_number version()
{
    return core::version_number(number());
}

caller::claim_state state()
{
    return static_cast<caller::claim_state>(*inRange(0, 3));
}

template <class Make>
auto list(Make make)
{
    std::vector<decltype(make())> made;
    for (int left = *inRange(0, 5); left > 0; --left)
    {
        made.push_back(make());
    }
    return made;
}

std::optional<mark_report> any_mark()
{
    return *arbitrary<bool>()
        ? std::optional(mark_report::make(core::request_id(text()), span()))
        : std::nullopt;
}

crash_report any_crash()
{
    return crash_report::make(core::request_id(text()), core::worker_id(text()),
        span(), span(), *arbitrary<bool>());
}

crash_history any_crash_history()
{
    return crash_history::make(
        number(), list(any_crash), any_mark(), any_mark());
}

member any_member()
{
    core::error reason;
    const auto address = core::endpoint::create(
        "10.1.2.3:" + std::to_string(*inRange(1, 9999)), reason);
    const core::incarnation_number incarnation(number());
    return member::make(core::daemon_id("d" + text()), *address,
        core::zone_id(text()), incarnation)
        .with_sequence(incarnation, number())
        .with_state(static_cast<member_state>(*inRange(0, 4)))
        .with_version_in_force(version());
}

document_digest any_digest()
{
    return document_digest::make(
        core::document_name(text()), version(), number());
}

caller::claimant any_claimant()
{
    return caller::claimant::make(
        core::daemon_id(text()), core::incarnation_number(number()), small());
}

evidence_report any_report()
{
    return evidence_report::make(static_cast<report_level>(*inRange(0, 2)),
        text(), core::zone_id(text()), core::service_id(text()), number(),
        list([] {
            return evidence_entry::make(core::worker_id(text()),
                upstream::evidence_counts::make(
                    count(), count(), count(), count()));
        }),
        { count(), count(), count() })
        .with_draining(list([] { return core::worker_id(text()); }));
}

verdict_reply any_verdicts()
{
    return verdict_reply::make(list([] {
        return upstream::verdict::make(core::worker_id(text()),
            static_cast<upstream::worker_state>(*inRange(0, 3)), real(), span(),
            *inRange(0, 1000));
    }),
        real(), span(), *arbitrary<bool>(),
        list([] { return core::worker_id(text()); }));
}

message any_claim_message(int kind)
{
    const core::request_id request(text());
    switch (kind)
    {
    case 0:
        return claim_request::make(caller::claim_parameters::make(
            request, number(), any_claimant(), version()));
    case 1:
        return claim_reply::make(caller::claim_answer::make(
            static_cast<caller::claim_verdict>(*inRange(0, 6)), state(),
            version()));
    case 2:
        return claim_settle::make(request, any_claimant(), state());
    case 3:
        return claim_copy::make(caller::claim_partition(*inRange(
                                    0U, caller::claim_partition_count)),
            version(), text());
    default:
        return claim_page::make(*arbitrary<bool>(), version(), list([] {
            return claim_entry::make(core::request_id(text()), number(),
                any_claimant(), state(), span());
        }),
            text());
    }
}

operators::kind_entry any_entry()
{
    core::error reason;
    const core::kind_id id("k" + text());
    const auto settings = operators::kind_settings::create(id,
        core::service_id(text()), *arbitrary<bool>(),
        core::all_ranks[*inRange<std::size_t>(0, core::rank_count)],
        span() + core::milliseconds(1), core::byte_count(number()), reason);
    auto routes = list([&] {
        core::error none;
        return operators::route::create("M" + text(), "/" + text(), id, none)
            ->with_host(text());
    });
    return *arbitrary<bool>()
        ? operators::kind_entry::removed(id)
        : operators::kind_entry::make(
            settings->with_target_latency(span())
                .with_max_attempts(*inRange(1, 9))
                .with_split(list([] {
                    return operators::service_weight::make(
                        core::service_id(text()), count());
                })),
            std::move(routes));
}

operators::configuration_request any_request()
{
    return operators::configuration_request::make(version(),
        operators::change_position::make(version(), core::kind_id(text())));
}

message any_configuration_message(int kind)
{
    if (kind == 0)
    {
        return configuration_offer::make(core::daemon_id(text()), version());
    }
    if (kind == 1)
    {
        return any_request();
    }
    const auto part
        = operators::configuration_part::make(any_request(), list(any_entry));
    std::vector<core::error> reasons;
    return *arbitrary<bool>()
        ? part
        : part.with_end(*operators::configuration::create(version(), {}, {}, {},
                            core::seconds(3), {}, reasons),
            *inRange<std::size_t>(0, 20'000));
}

message any_message()
{
    const int kind = *inRange(0, 18);
    if (kind >= 15)
    {
        return any_configuration_message(kind - 15);
    }
    switch (kind)
    {
    case 0:
        return ping::make(
            any_member(), list(any_member), number(), *arbitrary<bool>());
    case 1:
        return ack::make(any_member(), list(any_member), list(any_digest));
    case 2:
        return ping_request::make(
            any_member(), core::daemon_id(text()), any_member().get_address());
    case 3:
        return fetch_document::make(core::document_name(text()), version());
    case 4:
        return document::make(core::document_name(text()), version(), text());
    case 5:
        return any_report();
    case 6:
        return any_verdicts();
    case 7:
        return crash_notice::make(list(any_crash_history));
    case 8:
        return *arbitrary<bool>() ? receipt::accepted()
                                  : receipt::failed(text());
    case 9:
        return verdict_notice::make(
            core::service_id(text()), any_verdicts().get_verdicts());
    default:
        return any_claim_message(kind - 10);
    }
}

bool is_refused(const encoded_message& bytes)
{
    core::error reason;
    return !decode_message(bytes, "test", reason)
        && !reason.get_cause().empty();
}

} // namespace

// Guards against a field that is lost, swapped or changed in transit.
TEST_CASE("messages survive encoding and decoding", "[fleet][property]")
{
    CHECK(rc::check("decode(encode(x)) == x", [] {
        const message original = any_message();
        core::error reason;
        const auto decoded
            = decode_message(encode_message(original), "test", reason);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(*decoded == original);
    }));
}

// Guards against bytes from outside that crash a daemon or that are decoded to
// another message than they encode.
TEST_CASE("invalid bytes are refused with a reason", "[fleet][property]")
{
    CHECK(rc::check("random bytes", [] {
        const auto bytes = *arbitrary<encoded_message>();
        RC_ASSERT(is_refused(bytes));
    }));
    CHECK(rc::check("a changed or cut message", [] {
        auto bytes = encode_message(any_message());
        bytes[*inRange<std::size_t>(0, bytes.size())]
            = *arbitrary<std::uint8_t>();
        core::error reason;
        if (const auto decoded = decode_message(bytes, "test", reason))
        {
            const auto again
                = decode_message(encode_message(*decoded), "test", reason);
            RC_ASSERT(again && *again == *decoded);
        }
        bytes.resize(*inRange<std::size_t>(0, bytes.size()));
        RC_ASSERT(is_refused(bytes));
    }));
}

// Guards against input that overflows the parser's stack, and against
// versions, types and extra fields that this daemon does not support.
TEST_CASE("hostile and foreign messages are refused", "[fleet]")
{
    CHECK(is_refused(encoded_message(max_message_size, 0x91)));
    CHECK(is_refused(encoded_message(max_message_size + 1, 0x01)));
    CHECK(is_refused({ 0x93, 0x01, 0x0d, 0x93, 0xc2, 0xa0, 0x01 }));
    CHECK(is_refused({ 0x93, 0x02, 0x0d, 0x92, 0xc2, 0xa0 }));
    CHECK(is_refused({ 0x93, 0x01, 0x7f, 0x92, 0xc2, 0xa0 }));
    core::error reason;
    const encoded_message valid{ 0x93, 0x01, 0x0d, 0x92, 0xc2, 0xa0 };
    CHECK(
        decode_message(valid, "test", reason) == message(receipt::accepted()));
    auto changed = encode_message(document::make(
        core::document_name("n"), core::version_number(1), "body"));
    changed.back() ^= 1;
    CHECK(is_refused(changed));
}
