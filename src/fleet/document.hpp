#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace pollenward::fleet {

/// Name, version and hash of a document, without its body.
class document_digest {
public:
    static document_digest make(core::document_name name,
        core::version_number version, std::uint64_t hash)
    {
        document_digest made;
        made.name = std::move(name);
        made.version = version;
        made.hash = hash;
        return made;
    }

    const core::document_name& get_name() const { return this->name; }
    core::version_number get_version() const { return this->version; }
    std::uint64_t get_hash() const { return this->hash; }

    auto operator<=>(const document_digest&) const = default;

private:
    core::document_name name;
    core::version_number version;
    std::uint64_t hash = 0;
};

/// One version of a platform object as the daemons replicate it.
class document {
public:
    /// The hash is always computed from the body, so that a body that was
    /// damaged in transit does not match the announced hash.
    static document make(core::document_name name, core::version_number version,
        std::string body);

    const document_digest& get_digest() const { return this->digest; }
    const core::document_name& get_name() const
    {
        return this->digest.get_name();
    }
    core::version_number get_version() const
    {
        return this->digest.get_version();
    }
    const std::string& get_body() const { return this->body; }

    auto operator<=>(const document&) const = default;

private:
    document_digest digest;
    std::string body;
};

} // namespace pollenward::fleet
