#pragma once

#include "caller/outcome.hpp"
#include "core/header_field.hpp"
#include "core/shared_text.hpp"

#include <compare>
#include <string>
#include <utility>

namespace pollenward::caller {

/// What is sent back to a caller: the outcome and, if answered, the headers
/// and body of the worker's response.
class caller_answer {
public:
    static caller_answer make(
        outcome result, core::header_fields headers, core::shared_text body)
    {
        return caller_answer(
            std::move(result), std::move(headers), std::move(body));
    }

    static caller_answer without_body(outcome result)
    {
        return caller_answer(std::move(result), {}, {});
    }

    const outcome& get_outcome() const { return this->result; }
    const core::header_fields& get_headers() const { return this->headers; }
    const std::string& get_body() const { return this->body.str(); }

    auto operator<=>(const caller_answer&) const = default;

private:
    caller_answer(
        outcome result, core::header_fields headers, core::shared_text body)
        : result(std::move(result))
        , headers(std::move(headers))
        , body(std::move(body))
    {
    }

    outcome result;
    core::header_fields headers;
    core::shared_text body;
};

} // namespace pollenward::caller
