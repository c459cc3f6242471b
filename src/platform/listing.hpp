#pragma once

#include "core/error.hpp"
#include "core/runtime_clock.hpp"
#include "core/store_revision.hpp"
#include "core/units.hpp"
#include "platform/watch_result.hpp"

#include <boost/asio/awaitable.hpp>

#include <compare>
#include <concepts>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::platform {

enum class listing_status {
    /// All objects of the kind.
    complete,
    /// The objects changed since the requested revision.
    changes,
    /// The service has discarded the changes since that revision.
    history_gone,
    /// No valid answer.
    failed
};

/// One object of a listing: its name and, if it exists and is valid, its value.
template <class Value>
class listed_object {
public:
    static listed_object make(std::string name, std::optional<Value> value)
    {
        listed_object made;
        made.name = std::move(name);
        made.value = std::move(value);
        return made;
    }

    /// A copy with the revision of the object's last change.
    listed_object with_revision(store_revision changed) const
    {
        listed_object next = *this;
        next.revision = changed;
        return next;
    }

    const std::string& get_name() const { return this->name; }
    /// Default if it is not known.
    store_revision get_revision() const { return this->revision; }
    /// Nothing if the object was removed or is not valid for its kind.
    const std::optional<Value>& get_value() const { return this->value; }

    auto operator<=>(const listed_object&) const = default;

private:
    std::string name;
    std::optional<Value> value;
    store_revision revision;
};

/// The objects of one kind, or their changes, at a revision of the store.
template <class Value>
class listing {
public:
    using object = listed_object<Value>;

    static listing make(listing_status status, store_revision revision,
        std::vector<object> objects)
    {
        listing made;
        made.status = status;
        made.revision = revision;
        made.objects = std::move(objects);
        return made;
    }

    static listing history_gone()
    {
        return make(listing_status::history_gone, store_revision(), {});
    }

    static listing failed(core::error cause)
    {
        listing made;
        made.cause = std::move(cause);
        return made;
    }

    /// A copy whose revisions are of `assumed` if the store stated no era.
    listing in_era_unless_stated(core::store_era assumed) const
    {
        listing next = *this;
        next.revision = this->revision.in_era_unless_stated(assumed);
        return next;
    }

    listing_status get_status() const { return this->status; }
    store_revision get_revision() const { return this->revision; }
    const std::vector<object>& get_objects() const { return this->objects; }
    const core::error& get_cause() const { return this->cause; }

    auto operator<=>(const listing&) const = default;

private:
    listing_status status = listing_status::failed;
    store_revision revision;
    std::vector<object> objects;
    core::error cause;
};

/// A store of objects by kind; each kind is listed and watched separately.
template <class Store, class Value>
concept kind_store
    = requires(Store& store, store_revision after, core::milliseconds wait) {
          {
              store.template list<Value>()
          } -> std::same_as<boost::asio::awaitable<listing<Value>>>;
          {
              store.template watch<Value>(after, wait)
          } -> std::same_as<boost::asio::awaitable<listing<Value>>>;
      };

/// Receives the listings of a kind in order. It may receive the same objects
/// from another source, and then needs no calls to the store.
template <class Handler, class Value>
concept listing_handler = requires(Handler& handler,
    const listing<Value>& received, const core::error& cause) {
    handler.on_listing(received);
    handler.on_unchanged(received.get_revision());
    handler.on_store_lost(cause);
    handler.on_store_regained();
    handler.on_era_unstated();
    handler.on_store_restored(
        received.get_revision(), received.get_revision(), core::duration());
    {
        handler.needs_store(core::time_point())
    } -> std::same_as<bool>;
    {
        handler.known_revision()
    } -> std::same_as<store_revision>;
};

} // namespace pollenward::platform
