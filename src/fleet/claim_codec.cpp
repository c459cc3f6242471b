#include "fleet/field_codecs.hpp"

#include <limits>
#include <utility>

namespace pollenward::fleet {

namespace {

    using nlohmann::json;

    constexpr std::uint64_t max_uint32
        = std::numeric_limits<std::uint32_t>::max();

    json encode_claimant(const claimant& by)
    {
        return json::array({ by.get_daemon().str(), by.get_incarnation().get(),
            by.get_attempt() });
    }

    std::uint32_t read_uint32(array_reader& fields)
    {
        return static_cast<std::uint32_t>(fields.read_number(max_uint32));
    }

    claimant decode_claimant(array_reader& fields)
    {
        auto daemon = fields.read_id<core::daemon_id>();
        const auto incarnation
            = fields.read_quantity<core::incarnation_number>();
        const auto attempt = read_uint32(fields);
        return claimant::make(std::move(daemon), incarnation, attempt);
    }

    std::uint64_t number_of(caller::claim_state state)
    {
        return static_cast<std::uint64_t>(state);
    }

    caller::claim_state read_state(array_reader& fields)
    {
        return fields.read_enum(caller::claim_state::not_run);
    }

    claim_entry decode_entry(array_reader& fields)
    {
        auto request = fields.read_id<core::request_id>();
        const auto fingerprint = fields.read_number();
        const auto state = read_state(fields);
        const auto age = fields.read_milliseconds();
        return claim_entry::make(std::move(request), fingerprint, state, age);
    }

} // namespace

json encode_fields(const claim_request& content)
{
    return json::array({ content.get_request().str(), content.get_fingerprint(),
        content.get_partition(), content.get_roster().get(),
        encode_claimant(content.get_claimant()) });
}

claim_request decode_fields(
    array_reader& fields, type_of_message<claim_request>)
{
    auto request = fields.read_id<core::request_id>();
    const auto fingerprint = fields.read_number();
    const auto partition = read_uint32(fields);
    const auto roster = fields.read_quantity<core::version_number>();
    auto by = fields.read_nested(decode_claimant);
    return claim_request::make(
        std::move(request), fingerprint, partition, roster, std::move(by));
}

json encode_fields(const claim_reply& content)
{
    return json::array({ static_cast<std::uint64_t>(content.get_answer()),
        number_of(content.get_duplicate_state()), content.get_roster().get() });
}

claim_reply decode_fields(array_reader& fields, type_of_message<claim_reply>)
{
    const auto answer = fields.read_enum(claim_answer::no_quorum);
    const auto state = read_state(fields);
    const auto roster = fields.read_quantity<core::version_number>();
    return claim_reply::make(answer, state, roster);
}

json encode_fields(const claim_settle& content)
{
    return json::array({ content.get_request().str(), content.get_partition(),
        encode_claimant(content.get_claimant()),
        number_of(content.get_state()) });
}

claim_settle decode_fields(array_reader& fields, type_of_message<claim_settle>)
{
    auto request = fields.read_id<core::request_id>();
    const auto partition = read_uint32(fields);
    auto by = fields.read_nested(decode_claimant);
    const auto state = read_state(fields);
    return claim_settle::make(
        std::move(request), partition, std::move(by), state);
}

json encode_fields(const claim_copy& content)
{
    return json::array({ content.get_partition(), content.get_roster().get(),
        content.get_cursor() });
}

claim_copy decode_fields(array_reader& fields, type_of_message<claim_copy>)
{
    const auto partition = read_uint32(fields);
    const auto roster = fields.read_quantity<core::version_number>();
    auto cursor = fields.read_string();
    return claim_copy::make(partition, roster, std::move(cursor));
}

json encode_fields(const claim_page& content)
{
    json entries = json::array();
    for (const claim_entry& each : content.get_entries())
    {
        entries.push_back(json::array({ each.get_request().str(),
            each.get_fingerprint(), number_of(each.get_state()),
            static_cast<std::uint64_t>(each.get_age().count()) }));
    }
    return json::array({ content.is_ready(), content.get_roster().get(),
        std::move(entries), content.get_next_cursor() });
}

claim_page decode_fields(array_reader& fields, type_of_message<claim_page>)
{
    const bool is_ready = fields.read_bool();
    const auto roster = fields.read_quantity<core::version_number>();
    auto entries = fields.read_list(decode_entry);
    auto cursor = fields.read_string();
    return claim_page::make(
        is_ready, roster, std::move(entries), std::move(cursor));
}

json encode_fields(const guard_notice& content)
{
    return json::array({ content.get_fingerprint(), content.get_request().str(),
        content.get_worker().str() });
}

guard_notice decode_fields(array_reader& fields, type_of_message<guard_notice>)
{
    const auto fingerprint = fields.read_number();
    auto request = fields.read_id<core::request_id>();
    auto worker = fields.read_id<core::worker_id>();
    return guard_notice::make(
        fingerprint, std::move(request), std::move(worker));
}

} // namespace pollenward::fleet
