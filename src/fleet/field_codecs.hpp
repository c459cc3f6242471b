#pragma once

// Only codec files include this header: one pair of functions a message type.

#include "fleet/array_reader.hpp"
#include "fleet/message.hpp"

#include <nlohmann/json.hpp>

namespace pollenward::fleet {

/// Names the message type that a decode function is to read.
template <class Content>
struct type_of_message { };

nlohmann::json encode_fields(const ping& content);
nlohmann::json encode_fields(const ack& content);
nlohmann::json encode_fields(const ping_request& content);
nlohmann::json encode_fields(const fetch_document& content);
nlohmann::json encode_fields(const document& content);
nlohmann::json encode_fields(const evidence_report& content);
nlohmann::json encode_fields(const verdict_reply& content);
nlohmann::json encode_fields(const claim_request& content);
nlohmann::json encode_fields(const claim_reply& content);
nlohmann::json encode_fields(const claim_settle& content);
nlohmann::json encode_fields(const claim_copy& content);
nlohmann::json encode_fields(const claim_page& content);
nlohmann::json encode_fields(const guard_notice& content);
nlohmann::json encode_fields(const receipt& content);
nlohmann::json encode_fields(const verdict_notice& content);
nlohmann::json encode_fields(const zone_report& content);
nlohmann::json encode_fields(const zone_view& content);
nlohmann::json encode_fields(const knowledge& content);

ping decode_fields(array_reader& fields, type_of_message<ping>);
ack decode_fields(array_reader& fields, type_of_message<ack>);
ping_request decode_fields(array_reader& fields, type_of_message<ping_request>);
fetch_document decode_fields(
    array_reader& fields, type_of_message<fetch_document>);
document decode_fields(array_reader& fields, type_of_message<document>);
evidence_report decode_fields(
    array_reader& fields, type_of_message<evidence_report>);
verdict_reply decode_fields(
    array_reader& fields, type_of_message<verdict_reply>);
claim_request decode_fields(
    array_reader& fields, type_of_message<claim_request>);
claim_reply decode_fields(array_reader& fields, type_of_message<claim_reply>);
claim_settle decode_fields(array_reader& fields, type_of_message<claim_settle>);
claim_copy decode_fields(array_reader& fields, type_of_message<claim_copy>);
claim_page decode_fields(array_reader& fields, type_of_message<claim_page>);
guard_notice decode_fields(array_reader& fields, type_of_message<guard_notice>);
receipt decode_fields(array_reader& fields, type_of_message<receipt>);
verdict_notice decode_fields(
    array_reader& fields, type_of_message<verdict_notice>);
zone_report decode_fields(array_reader& fields, type_of_message<zone_report>);
zone_view decode_fields(array_reader& fields, type_of_message<zone_view>);
knowledge decode_fields(array_reader& fields, type_of_message<knowledge>);

} // namespace pollenward::fleet
