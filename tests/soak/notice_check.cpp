#include "soak/notice_check.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace pollenward::soak {

namespace {

    /// One run of a worker as one run of a daemon uses it.
    using path = std::tuple<std::string, int, std::string, int>;

    struct sent_request {
        const request_record* record = nullptr;
        const arrival* reached = nullptr;
    };

    bool was_frozen(const run_evidence& seen, const std::string& daemon,
        seconds from, seconds to)
    {
        return std::any_of(seen.disturbances.begin(), seen.disturbances.end(),
            [&](const disturbance& each) {
                return each.daemon == daemon && each.from <= to
                    && each.to >= from;
            });
    }

    std::string describe(
        const char* rule, const sent_request& late, seconds since)
    {
        return std::string(rule) + ' ' + late.record->get_id() + ' '
            + late.record->get_daemon() + " reached " + late.reached->worker
            + " at " + std::to_string(late.reached->at.count()) + ", notice of "
            + std::to_string(since.count());
    }

} // namespace

std::vector<std::string> find_late_sends(const run_evidence& seen,
    const std::vector<arrival>& arrivals, const notice_bounds& bounds)
{
    std::map<std::string, const request_record*> records;
    for (const request_record& each : seen.requests)
    {
        records.emplace(each.get_id(), &each);
    }
    std::map<path, std::vector<sent_request>> paths;
    for (const arrival& each : arrivals)
    {
        const auto found = records.find(each.request);
        if (found != records.end())
        {
            const request_record& sent = *found->second;
            paths[{ sent.get_daemon(), sent.get_incarnation(), each.worker,
                      each.start }]
                .push_back({ &sent, &each });
        }
    }
    std::vector<std::string> found;
    for (const auto& [from, sends] : paths)
    {
        for (const sent_request& told : sends)
        {
            const seconds passed_on = told.record->get_ended_at();
            const seconds pause_begin = told.reached->at;
            const seconds pause_end = pause_begin + told.reached->stated_pause;
            std::size_t in_pause = 0;
            for (const sent_request& each : sends)
            {
                const bool is_excused = was_frozen(
                    seen, std::get<0>(from), pause_begin, each.reached->at);
                if (is_excused)
                {
                    continue;
                }
                if (told.reached->said_leaving && told.record->has_signature()
                    && each.record->get_sent_at() > passed_on + bounds.drain)
                {
                    found.push_back(describe("DRAIN", each, passed_on));
                }
                const bool is_in_pause
                    = each.reached->at > pause_begin + bounds.pause_slack
                    && each.reached->at < pause_end;
                in_pause += is_in_pause ? 1 : 0;
                if (is_in_pause && in_pause > bounds.paused_requests)
                {
                    found.push_back(describe("BUDGET", each, pause_begin));
                }
            }
        }
    }
    return found;
}

} // namespace pollenward::soak
