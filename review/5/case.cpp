// A request whose workers fall silent when they begin to run it comes again.
// See claim.txt.
#include "../standins/kit.hpp"

#include <filesystem>
#include <iostream>

using namespace review;

namespace {

constexpr int machine_count = 6;
constexpr int worker_count = 12;
constexpr double stable_window_s = 4;
constexpr double worker_down_s = 4.5;
constexpr double timeout_s = 4;
constexpr int allowed_retries = 3;
const std::string poison_body = "allocation that crashes the worker";

struct poison_run {
    double at = 0;
    std::string worker;
};

} // namespace

int main()
{
    open_record("review/5/record.txt");
    store platform;
    platform.put("config", "main",
        make_configuration(7, "kiosk.example", "round-ledger", timeout_s));
    std::mutex mutex;
    std::vector<poison_run> poison_runs;
    std::vector<std::unique_ptr<worker>> workers;
    const std::vector<std::string> zones{ "cm-a", "kk-a", "hy-a" };
    for (int i = 0; i < worker_count; ++i)
    {
        const std::string id = "i-worker-" + std::to_string(i);
        workers.push_back(std::make_unique<worker>(id, "round-ledger", 0.3));
        workers.back()->crash_on(
            [&, id](const request& received) {
                if (!has_trouble()
                    || received.target().find("poison") == std::string::npos)
                {
                    return false;
                }
                const std::lock_guard lock(mutex);
                poison_runs.push_back({ now(), id });
                note("POISON runs on " + id);
                return true;
            },
            worker_down_s, true);
        platform.put(
            "servers", id, workers.back()->entry(zones[i % zones.size()]));
    }
    std::vector<std::unique_ptr<machine>> machines;
    for (int i = 0; i < machine_count; ++i)
    {
        machines.push_back(
            std::make_unique<machine>("front-" + std::to_string(i),
                zones[i % zones.size()], platform.address()));
        machines.back()->start();
    }
    for (const auto& each : machines)
    {
        if (!each->wait_until_ready(20))
        {
            std::cerr << "a daemon is not ready\n";
            return 2;
        }
    }
    // All know each other, and all are in touch.
    sleep_for(6);
    std::atomic<bool> stopped{ false };
    std::atomic<int> ordinary{ 0 };
    std::atomic<int> lost{ 0 };
    std::vector<std::thread> clients;
    for (const auto& each : machines)
    {
        clients.emplace_back([&, target = each.get()] {
            client own(target->front());
            while (!stopped)
            {
                const auto seen = own.send("POST", "/unsafe/cast", make_id(),
                    "vote " + make_id(), 8000);
                ++ordinary;
                lost += seen.status == 502 || seen.status == 504 ? 1 : 0;
                sleep_for(0.1);
            }
        });
    }
    sleep_for(1);
    // The caller tries its request again at the next machine.
    constexpr int attempts = 16;
    for (int turn = 0; turn < attempts; ++turn)
    {
        const machine& target = *machines[turn % machine_count];
        const std::string id = make_id();
        note("poison " + id + " to " + target.name());
        client own(target.front());
        const auto seen
            = own.send("POST", "/unsafe/poison", id, poison_body, 8000);
        note("poison " + id + " at " + target.name() + " has status "
            + std::to_string(seen.status));
        sleep_for(0.3);
    }
    stopped = true;
    for (auto& each : clients)
    {
        each.join();
    }
    const std::lock_guard lock(mutex);
    int late = 0;
    for (const poison_run& each : poison_runs)
    {
        late += poison_runs.size() > 2
                && each.at > poison_runs[2].at + stable_window_s
            ? 1
            : 0;
    }
    const std::string result = "poison runs "
        + std::to_string(poison_runs.size()) + ", later than 4 s after the "
        + "third " + std::to_string(late) + ", other requests "
        + std::to_string(ordinary.load()) + ", of these 502 or 504 "
        + std::to_string(lost.load());
    note(result);
    std::cout << result << std::endl;
    for (const auto& each : machines)
    {
        each->kill();
    }
    std::filesystem::remove_all(temporary_folder());
    std::_Exit(late > allowed_retries ? 1 : 0);
}
