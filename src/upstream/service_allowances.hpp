#pragma once

#include "core/ids.hpp"
#include "core/sharded_map.hpp"
#include "core/sharded_snapshot.hpp"
#include "upstream/retry_allowance.hpp"

#include <atomic>

namespace pollenward::upstream {

/// The allowances of this daemon for second sends, one per service.
class service_allowances {
private:
    template <class Change>
    auto visit(const core::service_id& service, Change change)
    {
        const auto now
            = this->terms.read([](const retry_terms& known) { return known; });
        const double sharers = this->daemons.load();
        return this->allowances.visit(
            service, [&] { return retry_allowance::make(now, sharers); },
            [&](retry_allowance& mine) {
                mine = mine.shared_by(now, sharers);
                return change(mine);
            });
    }

public:
    /// Daemons before the store has listed them: the size that the fleet is
    /// planned for, so that a restart of all of them stays within the terms.
    static constexpr double assumed_daemons = 470;

    explicit service_allowances(const retry_terms& terms)
        : terms(terms)
    {
    }

    /// Starts the allowance of each service anew.
    void set_terms(const retry_terms& changed)
    {
        this->terms.store(changed);
        this->allowances.erase_if(
            [](const auto&, const auto&) { return true; });
    }

    /// The number of daemons that share the terms.
    void set_daemons(double count) { this->daemons = count; }

    void count_request(const core::service_id& service)
    {
        this->visit(
            service, [](retry_allowance& mine) { mine = mine.with_request(); });
    }

    /// True if a second send is paid for.
    bool take_send(const core::service_id& service)
    {
        return this->visit(service, [](retry_allowance& mine) {
            const bool is_paid = mine.allows_send();
            mine = mine.with_send();
            return is_paid;
        });
    }

private:
    core::sharded_snapshot<retry_terms> terms;
    std::atomic<double> daemons{ assumed_daemons };
    core::sharded_map<core::service_id, retry_allowance> allowances;
};

} // namespace pollenward::upstream
