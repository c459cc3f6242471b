#pragma once

// Only codec files include this header. It has one pair of functions for each
// message type.

#include "fleet/array_reader.hpp"
#include "fleet/message.hpp"

#include <nlohmann/json.hpp>

namespace pollenward::fleet {

/// Selects the decode function of a message type.
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
nlohmann::json encode_fields(const crash_notice& content);
nlohmann::json encode_fields(const receipt& content);
nlohmann::json encode_fields(const verdict_notice& content);
nlohmann::json encode_fields(const zone_report& content);
nlohmann::json encode_fields(const zone_view& content);
nlohmann::json encode_fields(const store_state& content);
nlohmann::json encode_fields(const configuration_offer& content);
nlohmann::json encode_fields(const operators::configuration_request& content);
nlohmann::json encode_fields(const operators::configuration_part& content);

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
crash_notice decode_fields(array_reader& fields, type_of_message<crash_notice>);
receipt decode_fields(array_reader& fields, type_of_message<receipt>);
verdict_notice decode_fields(
    array_reader& fields, type_of_message<verdict_notice>);
zone_report decode_fields(array_reader& fields, type_of_message<zone_report>);
zone_view decode_fields(array_reader& fields, type_of_message<zone_view>);
store_state decode_fields(array_reader& fields, type_of_message<store_state>);
configuration_offer decode_fields(
    array_reader& fields, type_of_message<configuration_offer>);
operators::configuration_request decode_fields(
    array_reader& fields, type_of_message<operators::configuration_request>);
operators::configuration_part decode_fields(
    array_reader& fields, type_of_message<operators::configuration_part>);

} // namespace pollenward::fleet
