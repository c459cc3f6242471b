#include "stored_objects.hpp"

namespace platform_stand_in {

std::optional<object> stored_objects::find(const std::string& name) const
{
    const auto found = this->objects.find(name);
    return found == this->objects.end() ? std::nullopt
                                        : std::optional(found->second);
}

bool stored_objects::put(
    const std::string& name, std::uint64_t expected, const std::string& value)
{
    const auto current = this->find(name);
    if ((current ? current->version : 0) != expected)
    {
        return false;
    }
    ++this->revision;
    this->objects[name] = { name, expected + 1, this->revision, value };
    return true;
}

void stored_objects::touch(const std::string& name)
{
    if (const auto current = this->find(name))
    {
        this->put(name, current->version, current->value);
    }
}

std::vector<object> stored_objects::changed_since(std::uint64_t since) const
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

void stored_objects::take_snapshot()
{
    this->saved = this->objects;
    this->saved_revision = this->revision;
}

bool stored_objects::restore_snapshot()
{
    if (!this->saved)
    {
        return false;
    }
    this->objects = *this->saved;
    this->revision = this->saved_revision;
    ++this->era;
    return true;
}

} // namespace platform_stand_in
