#pragma once

#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"

#include <compare>
#include <optional>
#include <string>

namespace pollenward::operators {

/// An applied patch that a configuration records: its id, a digest of its
/// content, and the number of the configuration that it created.
class patch_record {
public:
    static patch_record make(
        core::patch_id id, std::string digest, core::version_number number);

    const core::patch_id& get_id() const { return this->id; }
    /// Empty if the record was added by hand; such a record matches any
    /// content.
    const std::string& get_digest() const { return this->digest; }
    core::version_number get_number() const { return this->number; }

    auto operator<=>(const patch_record&) const = default;

private:
    core::patch_id id;
    std::string digest;
    core::version_number number;
};

/// A change to the configuration, as sent by an operator.
class patch {
public:
    /// Fails on an empty id or one over 128 characters. `content` is the text
    /// of the change, in one canonical form per content.
    static std::optional<patch> create(core::patch_id id,
        core::version_number base_number, std::string content,
        core::error& reason);

    const core::patch_id& get_id() const { return this->id; }
    /// Number of the configuration that the patch was made against.
    core::version_number get_base_number() const { return this->base_number; }
    const std::string& get_content() const { return this->content; }
    /// Hash of the content, in hexadecimal digits.
    std::string get_digest() const;

    auto operator<=>(const patch&) const = default;

private:
    core::patch_id id;
    core::version_number base_number;
    std::string content;
};

} // namespace pollenward::operators
