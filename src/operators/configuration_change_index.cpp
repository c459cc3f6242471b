#include "operators/configuration_change_index.hpp"

#include <string>
#include <utility>
#include <vector>

namespace pollenward::operators {

namespace {

    std::map<core::kind_id, kind_entry> entries_of(const configuration& version)
    {
        std::map<core::kind_id, std::vector<route>> routes;
        for (const route& each : version.get_routes())
        {
            routes[each.get_kind()].push_back(each);
        }
        std::map<core::kind_id, kind_entry> entries;
        for (const kind_settings& each : version.get_kinds())
        {
            entries.emplace_hint(entries.end(), each.get_id(),
                kind_entry::make(each, std::move(routes[each.get_id()])));
        }
        return entries;
    }

    configuration without_kinds(const configuration& version)
    {
        std::vector<core::error> none;
        const auto made = configuration::create(version.get_number(),
            version.get_services(), {}, {}, version.get_max_timeout(),
            version.get_patches(), none);
        return made->with_ingress_limits(version.get_ingress_limits());
    }

} // namespace

core::version_number configuration_change_index::get_number() const
{
    return this->general ? this->general->get_number()
                         : core::version_number(0);
}

void configuration_change_index::on_version(const configuration& next)
{
    const auto number = next.get_number();
    auto entries = entries_of(next);
    std::vector<core::kind_id> removed;
    for (const auto& [id, each] : this->records)
    {
        if (each.entry.get_settings() && entries.count(id) == 0)
        {
            removed.push_back(id);
        }
    }
    for (core::kind_id& id : removed)
    {
        this->store(kind_entry::removed(std::move(id)), number);
    }
    for (auto& [id, entry] : entries)
    {
        const auto found = this->records.find(id);
        if (found == this->records.end() || found->second.entry != entry)
        {
            this->store(std::move(entry), number);
        }
    }
    this->general = without_kinds(next);
    if (this->removed_count > max_removed)
    {
        this->drop_removed();
    }
    this->numbers.insert(number);
    if (this->numbers.size() > max_numbers)
    {
        this->numbers.erase(this->numbers.begin());
    }
}

void configuration_change_index::store(
    kind_entry changed, core::version_number number)
{
    const core::kind_id id = changed.get_id();
    this->removed_count += changed.get_settings() ? 0 : 1;
    const auto found = this->records.find(id);
    if (found != this->records.end())
    {
        this->removed_count -= found->second.entry.get_settings() ? 0 : 1;
        this->order.erase(change_position::make(found->second.changed_in, id));
    }
    this->order.insert(change_position::make(number, id));
    this->records.insert_or_assign(id, record{ number, std::move(changed) });
}

void configuration_change_index::drop_removed()
{
    std::erase_if(this->records, [&](const auto& each) {
        const bool is_removed = !each.second.entry.get_settings();
        if (is_removed)
        {
            this->order.erase(
                change_position::make(each.second.changed_in, each.first));
        }
        return is_removed;
    });
    this->removed_count = 0;
    this->numbers.clear();
}

configuration_part configuration_change_index::part_after(
    const configuration_request& request) const
{
    constexpr core::version_number nothing(0);
    const bool is_known = request.get_base() == nothing
        || this->numbers.count(request.get_base()) != 0;
    const auto from
        = is_known ? request : configuration_request::from_start(nothing);
    auto reached = from.get_after();
    std::vector<kind_entry> entries;
    auto next = this->order.upper_bound(reached);
    for (; next != this->order.end() && entries.size() < max_part_size; ++next)
    {
        entries.push_back(this->records.at(next->get_kind()).entry);
        reached = *next;
    }
    const auto part = configuration_part::make(
        configuration_request::make(from.get_base(), reached),
        std::move(entries));
    return next == this->order.end() && this->general ? part.with_end(
               *this->general, this->records.size() - this->removed_count)
                                                      : part;
}

} // namespace pollenward::operators
