#pragma once

#include "caller/caller_answer.hpp"
#include "caller/caller_limits.hpp"
#include "caller/caller_request.hpp"
#include "caller/http_message.hpp"
#include "core/error.hpp"
#include "core/runtime_clock.hpp"
#include "core/shared_text.hpp"
#include "operators/kind_settings.hpp"

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <optional>
#include <utility>

namespace pollenward::caller {

/// Translates between the header fields of one kind of caller and the values of
/// this package. `Router` provides the routes and limits that the dialect looks
/// up.
template <class Type, class Router>
concept caller_dialect
    = requires(const Router& routes, const http_request& message,
        core::shared_text body, const operators::kind_settings& kind,
        core::time_point now, core::error& reason, const caller_answer& answer,
        const core::request_id& id) {
          {
              Type::limits(routes)
          } -> std::same_as<caller_limits>;
          {
              Type::find_kind(routes, message)
          } -> std::same_as<std::optional<operators::kind_settings>>;
          {
              Type::answer_without_route(routes)
          } -> std::same_as<caller_answer>;
          {
              Type::read_head(message, kind, routes.max_timeout(), now, reason)
          } -> std::same_as<std::optional<request_head>>;
          {
              Type::to_message(message, body)
          } -> std::same_as<upstream::request_message>;
          {
              Type::to_response(answer, message, id)
          } -> std::same_as<http_response>;
      };

/// Processes a request and returns its answer.
template <class Type>
concept request_handler = requires(Type& type, caller_request request) {
    {
        type.handle(std::move(request))
    } -> std::same_as<boost::asio::awaitable<caller_answer>>;
};

} // namespace pollenward::caller
