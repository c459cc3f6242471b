// Workers leave while a daemon starts and one answer of the store to it is
// late. See claim.txt.
#include "../standins/kit.hpp"

#include <iostream>

using namespace review;

namespace {

/// 3 of 16 workers leave, 0.19 of the service.
constexpr int old_count = 3;
constexpr int new_count = 13;
constexpr double drain_s = 2.5;
constexpr double stable_window_s = 4;
/// How long a worker that has left still serves.
constexpr double serves_on_s = 14;
/// How long the answer is late: one lost packet, which TCP sends again after
/// 200 ms and a round trip or more.
constexpr double late_s = 0.3;

struct sent_request {
    std::string machine;
    seen_answer seen;
};

class traffic {
public:
    void add_client(const machine& target)
    {
        this->threads.emplace_back([this, &target] { this->run(target); });
    }

    std::map<std::string, sent_request> stop()
    {
        this->stopped = true;
        for (auto& each : this->threads)
        {
            each.join();
        }
        return this->sent;
    }

private:
    void run(const machine& target)
    {
        client own(target.front());
        while (!this->stopped)
        {
            const std::string id = make_id();
            note("client sends " + id + " to " + target.name());
            const auto seen
                = own.send("POST", "/unsafe/cast", id, "vote " + id, 8000);
            note("client has status " + std::to_string(seen.status) + " for "
                + id + " " + seen.cause);
            {
                const std::lock_guard lock(this->mutex);
                this->sent[id] = { target.name(), seen };
            }
            sleep_for(seen.status == 200 ? 0.05 : 0.2);
        }
    }

    std::mutex mutex;
    std::map<std::string, sent_request> sent;
    std::vector<std::thread> threads;
    std::atomic<bool> stopped{ false };
};

} // namespace

int main()
{
    open_record("review/1/record.txt");
    store platform;
    relay link(platform.address());
    platform.put("config", "main",
        make_configuration(7, "kiosk.example", "vote-desk", 8));
    std::vector<std::unique_ptr<worker>> old_workers;
    std::vector<std::unique_ptr<worker>> new_workers;
    const auto add = [&](auto& list, const std::string& id) {
        list.push_back(std::make_unique<worker>(id, "vote-desk", 0.4));
        platform.put("servers", id, list.back()->entry("cm-a"));
    };
    for (int i = 0; i < old_count; ++i)
    {
        add(old_workers, "i-old-" + std::to_string(i));
    }
    for (int i = 0; i < new_count; ++i)
    {
        add(new_workers, "i-new-" + std::to_string(i));
    }
    machine first("front-cm-a-1", "cm-a", platform.address());
    machine second("front-cm-a-2", "cm-a", platform.address());
    machine third("front-cm-a-3", "cm-a", link.address());
    const std::vector<machine*> all{ &first, &second, &third };
    for (machine* each : all)
    {
        each->start();
    }
    for (machine* each : all)
    {
        if (!each->wait_until_ready(15))
        {
            std::cerr << each->name() << " is not ready\n";
            return 2;
        }
    }
    // All three know each other.
    sleep_for(3);
    traffic load;
    for (machine* each : all)
    {
        for (int i = 0; i < 5; ++i)
        {
            load.add_client(*each);
        }
    }
    sleep_for(2);
    third.kill();
    sleep_for(1);
    if (has_trouble())
    {
        link.hold_once("GET /objects/servers ", late_s);
    }
    third.start();
    // The scale-in: the old workers are removed without a report of draining.
    if (has_trouble())
    {
        wait_for(5, [&] { return link.held_at() > 0; });
        sleep_for(0.02);
    }
    else
    {
        sleep_for(0.05);
    }
    std::map<std::string, double> removed_at;
    for (const auto& each : old_workers)
    {
        platform.remove("servers", each->id());
        removed_at[each->id()] = now();
        note("store removes the entry of " + each->id());
    }
    const double last_end = now() + serves_on_s;
    sleep_until(last_end);
    for (const auto& each : old_workers)
    {
        note("worker " + each->id() + " ends");
        each->end();
    }
    sleep_for(2);
    const auto sent = load.stop();
    const double in_touch_at
        = std::max(third.started_at(), link.delivered_at()) + stable_window_s;
    int late = 0;
    int lost = 0;
    for (const auto& each : old_workers)
    {
        for (const run& seen : each->runs())
        {
            const auto found = sent.find(seen.request_id);
            const double limit = removed_at[each->id()] + drain_s;
            if (found == sent.end() || seen.at <= limit)
            {
                continue;
            }
            const bool is_in_touch = found->second.machine != third.name()
                || found->second.seen.sent_at > in_touch_at;
            if (!is_in_touch)
            {
                continue;
            }
            ++late;
            lost += found->second.seen.status == 200 ? 0 : 1;
            note("LATE " + seen.request_id + " from " + found->second.machine
                + " ran on " + each->id() + " "
                + std::to_string(seen.at - removed_at[each->id()])
                + " s after it was removed, status "
                + std::to_string(found->second.seen.status));
        }
    }
    int served = 0;
    for (const auto& [id, each] : sent)
    {
        served += each.seen.status == 200 ? 1 : 0;
    }
    const std::string result = "requests " + std::to_string(sent.size())
        + ", served " + std::to_string(served)
        + ", sent too late to a worker that has left " + std::to_string(late)
        + ", of these lost " + std::to_string(lost);
    note(result);
    std::cout << result << std::endl;
    third.kill();
    second.kill();
    first.kill();
    return late > 0 ? 1 : 0;
}
