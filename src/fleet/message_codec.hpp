#pragma once

#include "core/error.hpp"
#include "fleet/message.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace pollenward::fleet {

/// Incremented when a message changes in a way that older daemons cannot read.
inline constexpr std::uint64_t protocol_version = 1;

inline constexpr std::size_t max_message_size = 2'097'152;
inline constexpr std::size_t max_document_size = 1'048'576;

using encoded_message = std::vector<std::uint8_t>;

/// Encodes a message as a MessagePack array: protocol version, type number,
/// fields.
encoded_message encode_message(const message& content);

/// Decodes a message. Returns nothing, with the reason, if the bytes are not
/// exactly one valid message. `peer` names the sender in the reason.
std::optional<message> decode_message(std::span<const std::uint8_t> bytes,
    std::string_view peer, core::error& reason);

} // namespace pollenward::fleet
