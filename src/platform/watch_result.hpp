#pragma once

#include "core/error.hpp"
#include "core/quantity.hpp"
#include "core/store_revision.hpp"
#include "platform/stored_object.hpp"

#include <compare>
#include <cstdint>
#include <utility>
#include <vector>

namespace pollenward::platform {

using core::store_revision;

/// The result of one long poll: the store's revision with the objects changed
/// since the requested revision, or a failure.
class watch_result {
public:
    static watch_result changed(
        store_revision revision, std::vector<stored_object> objects)
    {
        return watch_result(revision, std::move(objects), false, {});
    }

    static watch_result failed(core::error cause)
    {
        return watch_result({}, {}, true, std::move(cause));
    }

    bool is_failed() const { return this->failure; }
    store_revision get_revision() const { return this->revision; }
    const std::vector<stored_object>& get_objects() const
    {
        return this->objects;
    }
    const core::error& get_cause() const { return this->cause; }

    auto operator<=>(const watch_result&) const = default;

private:
    watch_result(store_revision revision, std::vector<stored_object> objects,
        bool failure, core::error cause)
        : revision(revision)
        , objects(std::move(objects))
        , failure(failure)
        , cause(std::move(cause))
    {
    }

    store_revision revision;
    std::vector<stored_object> objects;
    bool failure;
    core::error cause;
};

} // namespace pollenward::platform
