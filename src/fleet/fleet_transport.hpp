#pragma once

#include "core/error.hpp"
#include "fleet/message.hpp"

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <functional>
#include <optional>

namespace pollenward::fleet {

using message_handler = std::function<boost::asio::awaitable<message>(message)>;

/// Sends requests to daemons and receives their replies. exchange() returns
/// nothing, with the reason, if no valid reply arrived in time. serve() replies
/// to incoming messages with what the handler returns.
template <class Transport>
concept fleet_transport
    = requires(Transport& transport, const core::endpoint& peer,
        message content, core::error& reason, message_handler handler) {
          {
              transport.exchange(peer, content, reason)
          } -> std::same_as<boost::asio::awaitable<std::optional<message>>>;
          transport.serve(handler);
      };

} // namespace pollenward::fleet
