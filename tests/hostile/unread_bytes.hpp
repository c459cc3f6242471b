#pragma once

#include <cstddef>
#include <cstdint>

namespace pollenward::hostile {

/// The bytes that have arrived at the connections of a local port and that its
/// process has not read yet.
std::size_t count_unread_bytes(std::uint16_t port);

} // namespace pollenward::hostile
