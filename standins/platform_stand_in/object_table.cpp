#include "store_state.hpp"

namespace platform_stand_in {

std::optional<object> store_state::find(const std::string& name) const
{
    const auto found = this->objects.find(name);
    return found == this->objects.end() ? std::nullopt
                                        : std::optional(found->second);
}

bool store_state::put(
    const std::string& name, std::uint64_t expected, const std::string& value)
{
    const auto present = this->find(name);
    if ((present ? present->version : 0) != expected)
    {
        return false;
    }
    ++this->revision;
    this->objects[name] = { name, expected + 1, this->revision, value };
    return true;
}

void store_state::touch(const std::string& name)
{
    if (const auto present = this->find(name))
    {
        this->put(name, present->version, present->value);
    }
}

std::vector<object> store_state::changed_since(std::uint64_t since) const
{
    std::vector<object> changed;
    for (const auto& [name, each] : this->objects)
    {
        if (each.revision > since)
        {
            changed.push_back(each);
        }
    }
    return changed;
}

void store_state::take_snapshot()
{
    this->saved = this->objects;
    this->saved_revision = this->revision;
}

bool store_state::restore_snapshot()
{
    if (!this->saved)
    {
        return false;
    }
    this->objects = *this->saved;
    this->revision = this->saved_revision;
    return true;
}

} // namespace platform_stand_in
