#include "operators/patch.hpp"

#include <xxhash.h>

#include <cstdio>
#include <utility>

namespace pollenward::operators {

namespace {

    constexpr std::size_t max_id_length = 128;

} // namespace

patch_record patch_record::make(
    core::patch_id id, std::string digest, core::version_number number)
{
    patch_record made;
    made.id = std::move(id);
    made.digest = std::move(digest);
    made.number = number;
    return made;
}

std::optional<patch> patch::create(core::patch_id id,
    core::version_number base_number, std::string content, core::error& reason)
{
    if (id.is_empty() || id.str().size() > max_id_length)
    {
        reason = core::error::make(
            "check patch", id.str(), "needs an id of 1 to 128 characters");
        return std::nullopt;
    }
    patch made;
    made.id = std::move(id);
    made.base_number = base_number;
    made.content = std::move(content);
    return made;
}

std::string patch::get_digest() const
{
    const XXH128_hash_t hash
        = XXH3_128bits(this->content.data(), this->content.size());
    std::string digits(33, '\0');
    std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
        static_cast<unsigned long long>(hash.high64),
        static_cast<unsigned long long>(hash.low64));
    digits.pop_back();
    return digits;
}

} // namespace pollenward::operators
