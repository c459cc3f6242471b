#include "fleet/field_codecs.hpp"

#include <utility>

namespace pollenward::fleet {

namespace {

    using nlohmann::json;

    json encode_claimant(const caller::claimant& holder)
    {
        return json::array({ holder.get_daemon().str(),
            holder.get_incarnation().get(), holder.get_number() });
    }

    caller::claimant decode_claimant(array_reader& fields)
    {
        auto daemon = fields.read_id<core::daemon_id>();
        const auto incarnation
            = fields.read_quantity<core::incarnation_number>();
        const auto number = fields.read_number();
        return caller::claimant::make(std::move(daemon), incarnation, number);
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
        auto holder = fields.read_nested(decode_claimant);
        const auto state = read_state(fields);
        const auto age = fields.read_milliseconds();
        return claim_entry::make(
            std::move(request), fingerprint, std::move(holder), state, age);
    }

} // namespace

json encode_fields(const claim_request& content)
{
    const caller::claim_parameters& parameters = content.get_parameters();
    return json::array({ parameters.get_id().str(),
        parameters.get_fingerprint(), encode_claimant(parameters.get_holder()),
        parameters.get_roster_version().get() });
}

claim_request decode_fields(
    array_reader& fields, type_of_message<claim_request>)
{
    auto request = fields.read_id<core::request_id>();
    const auto fingerprint = fields.read_number();
    auto holder = fields.read_nested(decode_claimant);
    const auto roster = fields.read_quantity<core::version_number>();
    return claim_request::make(caller::claim_parameters::make(
        std::move(request), fingerprint, std::move(holder), roster));
}

json encode_fields(const claim_reply& content)
{
    const caller::claim_answer& answer = content.get_answer();
    return json::array({ static_cast<std::uint64_t>(answer.get_verdict()),
        number_of(answer.get_state()), answer.get_roster_version().get() });
}

claim_reply decode_fields(array_reader& fields, type_of_message<claim_reply>)
{
    const auto verdict = fields.read_enum(caller::claim_verdict::no_reply);
    const auto state = read_state(fields);
    const auto roster = fields.read_quantity<core::version_number>();
    return claim_reply::make(
        caller::claim_answer::make(verdict, state, roster));
}

json encode_fields(const claim_settle& content)
{
    return json::array(
        { content.get_request().str(), encode_claimant(content.get_holder()),
            number_of(content.get_state()) });
}

claim_settle decode_fields(array_reader& fields, type_of_message<claim_settle>)
{
    auto request = fields.read_id<core::request_id>();
    auto holder = fields.read_nested(decode_claimant);
    const auto state = read_state(fields);
    return claim_settle::make(std::move(request), std::move(holder), state);
}

json encode_fields(const claim_copy& content)
{
    return json::array({ content.get_partition().get(),
        content.get_roster().get(), content.get_cursor() });
}

claim_copy decode_fields(array_reader& fields, type_of_message<claim_copy>)
{
    const caller::claim_partition partition(static_cast<std::uint32_t>(
        fields.read_number(caller::claim_partition_count - 1)));
    const auto roster = fields.read_quantity<core::version_number>();
    auto cursor = fields.read_string();
    return claim_copy::make(partition, roster, std::move(cursor));
}

json encode_fields(const claim_page& content)
{
    json entries = json::array();
    for (const claim_entry& each : content.get_entries())
    {
        entries.push_back(
            json::array({ each.get_request().str(), each.get_fingerprint(),
                encode_claimant(each.get_holder()), number_of(each.get_state()),
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

} // namespace pollenward::fleet
