#include "upstream/record_notices.hpp"

#include "operators/event.hpp"
#include "upstream/worker_pause.hpp"

namespace pollenward::upstream {

void record_notices(worker_notices& notices, const core::request_id& request,
    const listed_worker& who, const exchange_result& result,
    core::time_point now)
{
    const auto make_event = [&](const char* name) {
        return operators::event::make(name)
            .with("worker", who.get_worker().get_id())
            .with("request", request)
            .with("source", "answer");
    };
    if (result.is_leaving() && notices.record_leaving(who))
    {
        operators::write(make_event("worker.leaving"));
    }
    const auto& stated = result.get_pause_seconds();
    if (!stated)
    {
        return;
    }
    const auto pause = bounded_pause(*stated);
    if (!pause)
    {
        notices.count_unreadable_pause();
        operators::write(make_event("worker.pause_unreadable"));
        return;
    }
    notices.record_pause(who, now + *pause);
    operators::write(make_event("worker.pause")
                         .with("ms", core::duration(*pause))
                         .with("stated_s", *stated));
}

} // namespace pollenward::upstream
