// Machines are lost for good, and a request that crashes its workers comes
// again at the others. See claim.txt.
#include "../standins/kit.hpp"

#include <filesystem>
#include <iostream>

using namespace review;

namespace {

constexpr int machine_count = 12;
constexpr int lost_count = 24;
constexpr int worker_count = 12;
constexpr double stable_window_s = 4;
constexpr double worker_down_s = 3;
constexpr double retry_pause_s = 0.8;
constexpr int attempts = 3 * machine_count;
constexpr int allowed_retries = 3;
const std::string poison_body = "ballot that crashes the worker";

struct poison_run {
    double at = 0;
    std::string machine;
};

using machines = std::vector<std::unique_ptr<machine>>;

/// False if one is not ready in time.
bool start_all(machines& started)
{
    for (const auto& each : started)
    {
        each->start();
    }
    for (const auto& each : started)
    {
        if (!each->wait_until_ready(30))
        {
            return false;
        }
    }
    return true;
}

} // namespace

int main()
{
    open_record("review/5/record.txt");
    store platform;
    platform.put("config", "main",
        make_configuration(7, "kiosk.example", "vote-desk", 8));
    std::mutex mutex;
    std::map<std::string, std::string> poison_sent;
    std::vector<poison_run> poison_runs;
    std::vector<std::unique_ptr<worker>> workers;
    const std::vector<std::string> zones{ "cm-a", "kk-a", "hy-a" };
    for (int i = 0; i < worker_count; ++i)
    {
        const std::string id = "i-worker-" + std::to_string(i);
        workers.push_back(std::make_unique<worker>(id, "vote-desk", 0.3));
        workers.back()->crash_on(
            [&, id](const request& received) {
                if (received.body() != poison_body)
                {
                    return false;
                }
                const std::lock_guard lock(mutex);
                const auto& from
                    = poison_sent[std::string(received["Request-Id"])];
                poison_runs.push_back({ now(), from });
                note("POISON runs on " + id + ", sent by " + from);
                return true;
            },
            worker_down_s);
        platform.put(
            "servers", id, workers.back()->entry(zones[i % zones.size()]));
    }
    machines kept;
    machines lost;
    for (int i = 0; i < machine_count + lost_count; ++i)
    {
        machines& group = i < machine_count ? kept : lost;
        const std::string zone = zones[i % zones.size()];
        group.push_back(std::make_unique<machine>(
            "front-" + zone + "-" + std::to_string(i / 3 + 1), zone,
            platform.address()));
    }
    if (!start_all(kept) || !start_all(lost))
    {
        std::cerr << "a daemon is not ready\n";
        return 2;
    }
    // All have registered and know each other.
    sleep_for(6);
    if (has_trouble())
    {
        for (const auto& each : lost)
        {
            each->kill();
        }
    }
    // Calm, and the others are in touch.
    sleep_for(3 * stable_window_s);
    std::atomic<bool> stopped{ false };
    std::atomic<int> ordinary{ 0 };
    std::atomic<int> broken{ 0 };
    std::vector<std::thread> clients;
    for (const auto& each : kept)
    {
        clients.emplace_back([&, target = each.get()] {
            client own(target->front());
            while (!stopped)
            {
                const auto seen = own.send("POST", "/unsafe/cast", make_id(),
                    "vote " + make_id(), 8000);
                ++ordinary;
                broken += seen.status == 502 ? 1 : 0;
                sleep_for(0.1);
            }
        });
    }
    // The caller tries its request again at the next machine.
    for (int turn = 0; turn < attempts; ++turn)
    {
        const machine& target = *kept[turn % machine_count];
        const std::string id = make_id();
        {
            const std::lock_guard lock(mutex);
            poison_sent[id] = target.name();
        }
        client own(target.front());
        const auto seen
            = own.send("POST", "/unsafe/poison", id, poison_body, 8000);
        note("poison " + id + " at " + target.name() + " has status "
            + std::to_string(seen.status));
        sleep_for(retry_pause_s);
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
        + std::to_string(ordinary.load()) + ", of these 502 "
        + std::to_string(broken.load());
    note(result);
    std::cout << result << std::endl;
    for (machines* group : { &kept, &lost })
    {
        for (const auto& each : *group)
        {
            each->kill();
        }
    }
    std::filesystem::remove_all(temporary_folder());
    std::_Exit(late > allowed_retries ? 1 : 0);
}
