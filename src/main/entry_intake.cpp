#include "main/entry_intake.hpp"

#include <set>

namespace pollenward::main {

namespace {

    operators::event describe(
        const char* name, const upstream::listed_worker& entry)
    {
        const upstream::worker& who = entry.get_worker();
        return operators::event::make(name)
            .with("worker", who.get_id())
            .with("service", entry.get_service())
            .with("address", who.get_address().str())
            .with("leaving", who.is_leaving());
    }

} // namespace

void worker_intake::put(
    const std::string& name, const upstream::listed_worker& entry)
{
    const upstream::listed_worker* before = this->known.find(name);
    const bool is_told = before == nullptr
        || before->get_worker() != entry.get_worker()
        || before->get_service() != entry.get_service();
    if (is_told)
    {
        operators::write(describe("worker.listed", entry));
    }
    this->known.put(name, entry);
}

void worker_intake::on_listing(
    const platform::listing<upstream::listed_worker>& received)
{
    const std::lock_guard lock(this->mutex);
    const auto now = core::runtime_clock::now();
    std::set<std::string> names;
    std::set<std::string> removed;
    for (const auto& each : received.get_objects())
    {
        if (each.get_value())
        {
            names.insert(each.get_name());
            removed.erase(each.get_name());
            this->put(each.get_name(), *each.get_value());
        }
        else if (const auto* gone = this->known.find(each.get_name()))
        {
            operators::write(describe("worker.removed", *gone));
            removed.insert(each.get_name());
        }
    }
    this->known.remove({ removed.begin(), removed.end() }, now);
    if (received.get_status() == platform::listing_status::complete)
    {
        this->known.keep_only(names, now);
    }
    this->board.store_listed(this->known.workers());
}

void worker_intake::on_store_lost(const core::error& cause)
{
    operators::write(operators::event::make("store.lost")
                         .with("kind", "workers")
                         .with("cause", cause));
}

void worker_intake::on_store_regained()
{
    const std::lock_guard lock(this->mutex);
    this->known.on_outage_end(core::runtime_clock::now());
    operators::write(
        operators::event::make("store.regained").with("kind", "workers"));
}

core::time_point worker_intake::get_expiry()
{
    const std::lock_guard lock(this->mutex);
    return this->known.get_expiry();
}

void worker_intake::expire()
{
    const std::lock_guard lock(this->mutex);
    if (this->known.expire(core::runtime_clock::now()))
    {
        operators::write(operators::event::make("worker.not_back"));
        this->board.store_listed(this->known.workers());
    }
}

} // namespace pollenward::main
