#include "fleet/evidence_merge.hpp"

#include "upstream/evidence_window.hpp"
#include "upstream/path_fault.hpp"

namespace pollenward::fleet {

namespace {

    rank_demand add(const rank_demand& left, const rank_demand& right)
    {
        rank_demand sum = left;
        for (std::size_t i = 0; i < sum.size(); ++i)
        {
            sum[i] += right[i];
        }
        return sum;
    }

    /// The evidence of a report, decayed by the age of the report as it would
    /// be at its source.
    upstream::source_evidence evidence_of(
        const evidence_report& report, core::duration age)
    {
        upstream::source_evidence::counts_by_worker counts;
        for (const evidence_entry& each : report.get_entries())
        {
            counts.insert_or_assign(
                each.get_worker(), upstream::decayed(each.get_counts(), age));
        }
        return upstream::source_evidence::make(
            report.get_source(), report.get_zone(), std::move(counts));
    }

} // namespace

bool evidence_merge::is_expected(const evidence_report& report) const
{
    const bool is_own = report.get_zone() == this->own_zone;
    return is_own == (report.get_level() == report_level::daemon);
}

evidence_merge evidence_merge::with_report(
    const evidence_report& report, core::time_point now) const
{
    if (!this->is_expected(report))
    {
        return *this;
    }
    evidence_merge next = *this;
    const bool is_daemon = report.get_level() == report_level::daemon;
    auto& reports = is_daemon ? next.daemons : next.zones;
    const auto found = reports.find(report.get_source());
    if (found != reports.end() && found->second.is_valid(now)
        && found->second.report->get_sequence() >= report.get_sequence())
    {
        return *this;
    }
    reports.insert_or_assign(report.get_source(),
        received_report{
            std::make_shared<const evidence_report>(report), now });
    if (!is_daemon)
    {
        next.last_summaries.insert_or_assign(report.get_zone(), now);
    }
    return next;
}

evidence_merge evidence_merge::without_expired(core::time_point now) const
{
    evidence_merge next = *this;
    const auto is_expired
        = [&](const auto& entry) { return !entry.second.is_valid(now); };
    std::erase_if(next.daemons, is_expired);
    std::erase_if(next.zones, is_expired);
    std::erase_if(next.last_summaries, [&](const auto& entry) {
        return now - entry.second >= zone_retention;
    });
    return next;
}

std::vector<upstream::source_evidence> evidence_merge::sources(
    core::time_point now) const
{
    std::vector<upstream::source_evidence> all;
    for (const auto* reports : { &this->daemons, &this->zones })
    {
        for (const auto& [source, each] : *reports)
        {
            if (each.is_valid(now))
            {
                all.push_back(evidence_of(*each.report, now - each.received));
            }
        }
    }
    return all;
}

std::vector<source_demand> evidence_merge::daemon_demand(
    core::time_point now) const
{
    std::vector<source_demand> all;
    for (const auto& [source, each] : this->daemons)
    {
        if (each.is_valid(now))
        {
            all.push_back(
                source_demand::make(source, each.report->get_demand()));
        }
    }
    return all;
}

std::vector<source_demand> evidence_merge::zone_demand(
    core::time_point now) const
{
    std::map<std::string, rank_demand> by_zone;
    for (const source_demand& each : this->daemon_demand(now))
    {
        rank_demand& own = by_zone[this->own_zone.str()];
        own = add(own, each.get_demand());
    }
    for (const auto& [source, each] : this->zones)
    {
        if (each.is_valid(now))
        {
            by_zone.insert_or_assign(
                each.report->get_zone().str(), each.report->get_demand());
        }
    }
    std::vector<source_demand> all;
    all.reserve(by_zone.size());
    for (const auto& [zone, demand] : by_zone)
    {
        all.push_back(source_demand::make(zone, demand));
    }
    return all;
}

std::vector<core::zone_id> evidence_merge::zones_without_evidence(
    core::time_point now) const
{
    std::vector<core::zone_id> missing;
    for (const auto& [zone, last_summary] : this->last_summaries)
    {
        const core::duration age = now - last_summary;
        if (age >= report_validity && age < zone_retention)
        {
            missing.push_back(zone);
        }
    }
    for (const auto& [source, each] : this->zones)
    {
        if (each.is_valid(now) && each.report->get_entries().empty()
            && total_of(each.report->get_demand()) > 0)
        {
            missing.push_back(each.report->get_zone());
        }
    }
    return missing;
}

evidence_report evidence_merge::zone_summary(const core::service_id& service,
    std::uint64_t sequence, core::time_point now) const
{
    std::vector<upstream::source_evidence> own;
    rank_demand demand{};
    for (const auto& [source, each] : this->daemons)
    {
        if (each.is_valid(now))
        {
            own.push_back(evidence_of(*each.report, now - each.received));
            demand = add(demand, each.report->get_demand());
        }
    }
    std::vector<evidence_entry> entries;
    for (const auto& zone :
        upstream::sum_by_zone(upstream::without_faulty_sources(own)))
    {
        for (const auto& [worker, counts] : zone.get_counts())
        {
            entries.push_back(evidence_entry::make(worker, counts));
        }
    }
    return evidence_report::make(report_level::zone, this->own_zone.str(),
        this->own_zone, service, sequence, std::move(entries), demand);
}

} // namespace pollenward::fleet
