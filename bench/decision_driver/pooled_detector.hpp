#pragma once

#include "event_queue.hpp"
#include "fleet/service_aggregator.hpp"
#include "naive_detector.hpp"
#include "scenario.hpp"
#include "upstream/evidence_store.hpp"
#include "upstream/path_failure_tracker.hpp"

#include <array>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pollenward::bench {

/// The detection of the fleet: daemons report to the aggregator of their zone,
/// aggregators exchange summaries, and each daemon applies the verdicts and the
/// floor.
class pooled_detector {
public:
    pooled_detector(event_queue& events, const scenario& plan);

    /// Schedules the first reports and summaries.
    void start();

    void record(int daemon, int worker, upstream::attempt_result result,
        unsigned status, int in_flight);

    std::vector<double> weights(int daemon) const;
    bool is_ejected(int daemon, int worker) const;
    bool was_ejected(int worker) const;
    control_traffic traffic() const { return this->sent; }

private:
    struct node {
        std::unique_ptr<upstream::evidence_store> evidence
            = std::make_unique<upstream::evidence_store>();
        std::unique_ptr<upstream::path_failure_tracker> avoidance
            = std::make_unique<upstream::path_failure_tracker>();
        std::unique_ptr<fleet::service_aggregator> aggregator;
        std::vector<upstream::received_verdict> held;
        std::vector<double> weights = std::vector<double>(worker_count, 1);
        core::time_point next_report;
        core::time_point next_summary;
        int in_flight = 0;
    };

    void schedule_report(int daemon, core::duration delay);
    void schedule_summary(int daemon, core::duration delay);
    void send_report(int daemon);
    void send_summary(int daemon);
    void receive(int daemon, const fleet::evidence_report& report, int sender);
    void receive_reply(int daemon, const fleet::verdict_reply& reply);
    void announce(int daemon);
    void refresh(int daemon);
    void count(const fleet::evidence_report& report);
    void count(const fleet::verdict_reply& reply);
    template <class Action>
    void send(int from, int to, Action on_arrival);

    event_queue& events;
    const scenario& plan;
    core::time_point begin;
    std::vector<upstream::worker> workers;
    std::vector<int> aggregator_of_zone;
    std::vector<node> nodes;
    std::set<std::string> ejected_once;
    control_traffic sent;
};

} // namespace pollenward::bench
