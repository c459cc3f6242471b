#include "request_counts.hpp"

#include <nlohmann/json.hpp>

namespace pollenward::worker_stand_in {

std::string request_counts::to_json() const
{
    const nlohmann::json all = { { "runs", this->runs }, { "shed", this->shed },
        { "refused", this->refused }, { "expired", this->expired },
        { "cancelled", this->cancelled } };
    return all.dump();
}

} // namespace pollenward::worker_stand_in
