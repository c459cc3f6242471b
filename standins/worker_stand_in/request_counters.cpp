#include "run_log.hpp"

#include <nlohmann/json.hpp>

namespace pollenward::worker_stand_in {

std::string run_log::to_json() const
{
    const nlohmann::json all = { { "runs", this->runs }, { "shed", this->shed },
        { "refused", this->refused }, { "expired", this->expired },
        { "cancelled", this->cancelled } };
    return all.dump();
}

} // namespace pollenward::worker_stand_in
