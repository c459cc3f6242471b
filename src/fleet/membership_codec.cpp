#include "fleet/field_codecs.hpp"
#include "fleet/message_codec.hpp"

#include <utility>

namespace pollenward::fleet {

namespace {

    using nlohmann::json;

    json encode_member(const member& each)
    {
        return json::array({ each.get_id().str(), each.get_address().str(),
            each.get_zone().str(), each.get_incarnation().get(),
            each.get_sequence(), static_cast<std::uint64_t>(each.get_state()),
            each.get_version_in_force().get() });
    }

    member decode_member(array_reader& fields)
    {
        auto id = fields.read_id<core::daemon_id>();
        auto address = fields.read_endpoint();
        auto zone = fields.read_id<core::zone_id>();
        const auto incarnation
            = fields.read_quantity<core::incarnation_number>();
        const auto sequence = fields.read_number();
        const auto state = fields.read_enum(member_state::dead);
        const auto version = fields.read_quantity<core::version_number>();
        if (id.is_empty())
        {
            fields.fail("follows an empty id");
        }
        return member::make(
            std::move(id), std::move(address), std::move(zone), incarnation)
            .with_sequence(incarnation, sequence)
            .with_state(state)
            .with_version_in_force(version);
    }

    json encode_digest(const document_digest& each)
    {
        return json::array({ each.get_name().str(), each.get_version().get(),
            each.get_hash() });
    }

    document_digest decode_digest(array_reader& fields)
    {
        auto name = fields.read_id<core::document_name>();
        const auto version = fields.read_quantity<core::version_number>();
        const auto hash = fields.read_number();
        return document_digest::make(std::move(name), version, hash);
    }

    json encode_updates(const member_updates& updates)
    {
        json list = json::array();
        for (const member& each : updates)
        {
            list.push_back(encode_member(each));
        }
        return list;
    }

} // namespace

json encode_fields(const ping& content)
{
    return json::array({ encode_member(content.get_sender()),
        encode_updates(content.get_updates()), content.get_documents_hash(),
        content.wants_all() });
}

ping decode_fields(array_reader& fields, type_of_message<ping>)
{
    auto sender = fields.read_nested(decode_member);
    auto updates = fields.read_list(decode_member);
    const auto hash = fields.read_number();
    const bool wants_all = fields.read_bool();
    return ping::make(std::move(sender), std::move(updates), hash, wants_all);
}

json encode_fields(const ack& content)
{
    json digests = json::array();
    for (const document_digest& each : content.get_digests())
    {
        digests.push_back(encode_digest(each));
    }
    return json::array({ encode_member(content.get_sender()),
        encode_updates(content.get_updates()), std::move(digests) });
}

ack decode_fields(array_reader& fields, type_of_message<ack>)
{
    auto sender = fields.read_nested(decode_member);
    auto updates = fields.read_list(decode_member);
    auto digests = fields.read_list(decode_digest);
    return ack::make(std::move(sender), std::move(updates), std::move(digests));
}

json encode_fields(const ping_request& content)
{
    return json::array({ encode_member(content.get_sender()),
        content.get_target().str(), content.get_target_address().str() });
}

ping_request decode_fields(array_reader& fields, type_of_message<ping_request>)
{
    auto sender = fields.read_nested(decode_member);
    auto target = fields.read_id<core::daemon_id>();
    auto address = fields.read_endpoint();
    return ping_request::make(
        std::move(sender), std::move(target), std::move(address));
}

json encode_fields(const fetch_document& content)
{
    return json::array(
        { content.get_name().str(), content.get_present_version().get() });
}

fetch_document decode_fields(
    array_reader& fields, type_of_message<fetch_document>)
{
    auto name = fields.read_id<core::document_name>();
    const auto present_version = fields.read_quantity<core::version_number>();
    return fetch_document::make(std::move(name), present_version);
}

json encode_fields(const document& content)
{
    return json::array({ content.get_name().str(), content.get_version().get(),
        content.get_digest().get_hash(), content.get_body() });
}

document decode_fields(array_reader& fields, type_of_message<document>)
{
    auto name = fields.read_id<core::document_name>();
    const auto version = fields.read_quantity<core::version_number>();
    const auto hash = fields.read_number();
    auto body = fields.read_string(max_document_size);
    auto made = document::make(std::move(name), version, std::move(body));
    if (made.get_digest().get_hash() != hash)
    {
        fields.fail("does not have the announced hash");
    }
    return made;
}

json encode_fields(const receipt& content)
{
    return json::array({ content.is_failure(), content.get_cause() });
}

receipt decode_fields(array_reader& fields, type_of_message<receipt>)
{
    constexpr std::size_t max_cause_size = 4096;
    const bool is_failure = fields.read_bool();
    auto cause = fields.read_string(max_cause_size);
    if (!is_failure && !cause.empty())
    {
        fields.fail("is a cause without a failure");
    }
    return is_failure ? receipt::failed(std::move(cause)) : receipt::accepted();
}

} // namespace pollenward::fleet
