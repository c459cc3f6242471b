#include "fleet/field_codecs.hpp"

#include <utility>

namespace pollenward::fleet {

namespace {

    using nlohmann::json;

    /// Far more than the crashes that a record keeps.
    constexpr std::size_t max_crashes = 256;

    json encode_crash(const crash_report& crash)
    {
        return json::array({ crash.get_request().str(),
            crash.get_worker().str(), crash.get_start_age().count(),
            crash.get_end_age().count(), crash.is_refuted() });
    }

    crash_report decode_crash(array_reader& fields)
    {
        auto request = fields.read_id<core::request_id>();
        auto worker = fields.read_id<core::worker_id>();
        const auto start_age = fields.read_milliseconds();
        const auto end_age = fields.read_milliseconds();
        const bool is_refuted = fields.read_bool();
        return crash_report::make(std::move(request), std::move(worker),
            start_age, end_age, is_refuted);
    }

    /// An absent mark is an empty list.
    json encode_mark(const std::optional<mark_report>& mark)
    {
        return mark ? json::array({ json::array(
                   { mark->get_request().str(), mark->get_age().count() }) })
                    : json::array();
    }

    std::optional<mark_report> decode_mark(array_reader& fields)
    {
        const auto read = [](array_reader& inner) {
            auto request = inner.read_id<core::request_id>();
            return mark_report::make(
                std::move(request), inner.read_milliseconds());
        };
        const auto marks = fields.read_list(read, 1);
        return marks.empty() ? std::nullopt : std::optional(marks.front());
    }

    json encode_history(const crash_history& history)
    {
        json crashes = json::array();
        for (const crash_report& each : history.get_crashes())
        {
            crashes.push_back(encode_crash(each));
        }
        return json::array({ history.get_fingerprint(), std::move(crashes),
            encode_mark(history.get_last_trial()),
            encode_mark(history.get_last_refusal()) });
    }

    crash_history decode_history(array_reader& fields)
    {
        const auto fingerprint = fields.read_number();
        auto crashes = fields.read_list(decode_crash, max_crashes);
        auto last_trial = decode_mark(fields);
        auto last_refusal = decode_mark(fields);
        return crash_history::make(fingerprint, std::move(crashes),
            std::move(last_trial), std::move(last_refusal));
    }

} // namespace

json encode_fields(const crash_notice& content)
{
    json histories = json::array();
    for (const crash_history& each : content.get_histories())
    {
        histories.push_back(encode_history(each));
    }
    return json::array({ std::move(histories) });
}

crash_notice decode_fields(array_reader& fields, type_of_message<crash_notice>)
{
    return crash_notice::make(
        fields.read_list(decode_history, crash_notice::max_histories));
}

} // namespace pollenward::fleet
