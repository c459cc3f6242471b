#include "pooled_detector.hpp"

#include "upstream/floor.hpp"

#include <algorithm>
#include <utility>

namespace pollenward::bench {

namespace {

    constexpr core::milliseconds report_interval(500);
    constexpr core::milliseconds report_after_failure(100);
    constexpr core::milliseconds summary_after_failure(50);

    const core::service_id service("votes");

    core::zone_id zone_name(int zone)
    {
        return core::zone_id("zone-" + std::to_string(zone));
    }

    core::daemon_id daemon_name(int daemon)
    {
        return core::daemon_id("daemon-" + std::to_string(daemon));
    }

    core::worker_id worker_name(int worker)
    {
        return core::worker_id("worker-" + std::string(worker < 10 ? "0" : "")
            + std::to_string(worker));
    }

    std::vector<fleet::zone_daemon> all_daemons()
    {
        std::vector<fleet::zone_daemon> all;
        all.reserve(daemon_count);
        for (int i = 0; i < daemon_count; ++i)
        {
            all.push_back(fleet::zone_daemon::make(daemon_name(i),
                zone_name(host{ host::role::daemon, i }.zone())));
        }
        return all;
    }

    int number_of(const core::daemon_id& daemon)
    {
        return std::stoi(daemon.str().substr(std::string("daemon-").size()));
    }

    bool has_new_failure(const fleet::evidence_report& report)
    {
        const auto& entries = report.get_entries();
        return std::any_of(
            entries.begin(), entries.end(), [](const auto& each) {
                return each.get_counts().get_fast_failures() >= 0.5;
            });
    }

} // namespace

pooled_detector::pooled_detector(event_queue& events, const scenario& plan)
    : events(events)
    , plan(plan)
    , begin(events.now())
    , nodes(daemon_count)
{
    for (int i = 0; i < worker_count; ++i)
    {
        this->workers.push_back(upstream::worker::make(worker_name(i), {},
            zone_name(host{ host::role::worker, i }.zone()), false));
    }
    const auto live = all_daemons();
    for (int zone = 0; zone < zone_count; ++zone)
    {
        this->aggregator_of_zone.push_back(number_of(
            *fleet::select_aggregator(service, zone_name(zone), live)));
    }
    for (int i = 0; i < daemon_count; ++i)
    {
        this->nodes[i].aggregator = std::make_unique<fleet::service_aggregator>(
            live[i].get_zone(), 0);
        this->nodes[i].aggregator->store_view(service,
            fleet::service_view::make(this->workers, {}, floor_share,
                core::slot_count(slots_per_worker), {}, live));
    }
}

void pooled_detector::start()
{
    random_source random(this->plan.seed);
    std::uniform_int_distribution<int> phase(0, 499);
    for (int i = 0; i < daemon_count; ++i)
    {
        this->nodes[i].next_report = core::time_point::max();
        this->schedule_report(i, core::milliseconds(phase(random)));
    }
    for (const int aggregator : this->aggregator_of_zone)
    {
        this->nodes[aggregator].next_summary = core::time_point::max();
        this->schedule_summary(aggregator, core::milliseconds(phase(random)));
    }
}

void pooled_detector::schedule_report(int daemon, core::duration delay)
{
    const auto due = this->events.now() + delay;
    if (due >= this->nodes[daemon].next_report)
    {
        return;
    }
    this->nodes[daemon].next_report = due;
    this->events.run_after(delay, [this, daemon, due] {
        if (this->nodes[daemon].next_report == due)
        {
            this->nodes[daemon].next_report = core::time_point::max();
            this->send_report(daemon);
            this->schedule_report(daemon, report_interval);
        }
    });
}

void pooled_detector::schedule_summary(int daemon, core::duration delay)
{
    const auto due = this->events.now() + delay;
    if (due >= this->nodes[daemon].next_summary)
    {
        return;
    }
    this->nodes[daemon].next_summary = due;
    this->events.run_after(delay, [this, daemon, due] {
        if (this->nodes[daemon].next_summary == due)
        {
            this->nodes[daemon].next_summary = core::time_point::max();
            this->send_summary(daemon);
            this->schedule_summary(daemon, report_interval);
        }
    });
}

template <class Action>
void pooled_detector::send(int from, int to, Action on_arrival)
{
    const auto delay = this->plan.delay({ host::role::daemon, from },
        { host::role::daemon, to }, this->events.now() - this->begin);
    if (delay)
    {
        this->events.run_after(*delay, std::move(on_arrival));
    }
}

void pooled_detector::send_report(int daemon)
{
    node& self = this->nodes[daemon];
    this->refresh(daemon);
    const auto now = this->events.now();
    std::vector<fleet::evidence_entry> entries;
    for (const auto& each : self.evidence->collect(now))
    {
        entries.push_back(
            fleet::evidence_entry::make(each.get_worker(), each.get_counts()));
    }
    const int zone = host{ host::role::daemon, daemon }.zone();
    const auto report = fleet::evidence_report::make(
        fleet::report_level::daemon, daemon_name(daemon).str(), zone_name(zone),
        service, static_cast<std::uint64_t>(now.time_since_epoch().count()),
        std::move(entries), { 0, static_cast<double>(self.in_flight), 0 });
    this->count(report);
    const int aggregator = this->aggregator_of_zone[zone];
    this->send(daemon, aggregator, [this, aggregator, report, daemon] {
        this->receive(aggregator, report, daemon);
    });
}

void pooled_detector::send_summary(int daemon)
{
    const auto report
        = this->nodes[daemon].aggregator->summary(service, this->events.now());
    this->announce(daemon);
    for (const int other : this->aggregator_of_zone)
    {
        if (other != daemon)
        {
            this->count(report);
            this->send(daemon, other, [this, other, report, daemon] {
                this->receive(other, report, daemon);
            });
        }
    }
}

void pooled_detector::receive(
    int daemon, const fleet::evidence_report& report, int sender)
{
    const auto reply
        = this->nodes[daemon].aggregator->on_report(report, this->events.now());
    for (const auto& each : reply.get_verdicts())
    {
        if (each.get_ejections() > 0)
        {
            this->ejected_once.insert(each.get_worker().str());
        }
    }
    this->count(reply);
    this->announce(daemon);
    if (report.get_level() == fleet::report_level::zone)
    {
        this->send(daemon, sender, [this, sender, reply] {
            this->nodes[sender].aggregator->on_reply(
                service, reply, this->events.now());
            this->announce(sender);
        });
        return;
    }
    if (has_new_failure(report))
    {
        this->schedule_summary(daemon, summary_after_failure);
    }
    this->send(daemon, sender,
        [this, sender, reply] { this->receive_reply(sender, reply); });
}

void pooled_detector::announce(int daemon)
{
    const auto notice = this->nodes[daemon].aggregator->take_ejection_notice(
        service, this->events.now());
    if (!notice || !this->plan.has_notices)
    {
        return;
    }
    const int zone = host{ host::role::daemon, daemon }.zone();
    for (int i = zone; i < daemon_count; i += zone_count)
    {
        this->count(*notice);
        this->send(daemon, i,
            [this, i, reply = *notice] { this->receive_reply(i, reply); });
    }
}

void pooled_detector::receive_reply(
    int daemon, const fleet::verdict_reply& reply)
{
    this->nodes[daemon].held = upstream::make_received_verdicts(
        reply.get_verdicts(), this->events.now());
    this->refresh(daemon);
}

void pooled_detector::refresh(int daemon)
{
    node& self = this->nodes[daemon];
    const auto now = this->events.now();
    std::fill(self.weights.begin(), self.weights.end(), 0);
    for (const auto& each : upstream::usable_workers(this->workers, self.held,
             {}, self.avoidance->avoided(service, now), floor_share, now))
    {
        const auto position = std::lower_bound(
            this->workers.begin(), this->workers.end(), each.get_worker());
        self.weights[position - this->workers.begin()] = each.get_weight();
    }
}

void pooled_detector::record(int daemon, int worker,
    upstream::attempt_result result, unsigned status, int in_flight)
{
    node& self = this->nodes[daemon];
    const auto now = this->events.now();
    const auto id = worker_name(worker);
    const auto kind = upstream::evidence_of(result, status);
    self.in_flight = in_flight;
    self.avoidance->record(service, id, result, now);
    if (kind == upstream::evidence_kind::none)
    {
        return;
    }
    const bool is_failure = kind == upstream::evidence_kind::failure;
    self.evidence->record(service, id, is_failure, now);
    if (is_failure)
    {
        this->refresh(daemon);
        this->schedule_report(daemon, report_after_failure);
    }
}

std::vector<double> pooled_detector::weights(int daemon) const
{
    return this->nodes[daemon].weights;
}

bool pooled_detector::is_ejected(int daemon, int worker) const
{
    const auto& held = this->nodes[daemon].held;
    return std::any_of(held.begin(), held.end(), [&](const auto& each) {
        const auto verdict = each.at(this->events.now());
        return verdict.get_worker() == worker_name(worker)
            && verdict.get_state() == upstream::worker_state::ejected;
    });
}

bool pooled_detector::was_ejected(int worker) const
{
    return this->ejected_once.contains(worker_name(worker).str());
}

// Approximate MessagePack sizes: one length byte per string, nine bytes per
// double, ten per id, and 30 for the type, service, zone and sequence number.
void pooled_detector::count(const fleet::evidence_report& report)
{
    ++this->sent.messages;
    this->sent.bytes += 57 + report.get_source().size()
        + report.get_entries().size() * std::size_t{ 47 };
}

void pooled_detector::count(const fleet::verdict_reply& reply)
{
    ++this->sent.messages;
    this->sent.bytes += 20 + reply.get_verdicts().size() * std::size_t{ 26 };
}

} // namespace pollenward::bench
