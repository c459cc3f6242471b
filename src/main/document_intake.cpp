#include "main/document_intake.hpp"

#include "caller/claim_roster_json.hpp"
#include "main/document_names.hpp"
#include "operators/configuration_json.hpp"

#include <easylogging++.h>

#include <utility>

namespace pollenward::main {

namespace asio = boost::asio;

namespace {

    /// The number that a numbered object carries in its value.
    std::optional<core::version_number> number_in(
        const platform::stored_object& object)
    {
        if (object.get_name() == configuration_document)
        {
            std::vector<core::error> faults;
            const auto decoded
                = operators::decode_configuration(object.get_value(), faults);
            return decoded ? std::optional(decoded->get_number())
                           : std::nullopt;
        }
        core::error reason;
        const auto decoded
            = caller::decode_claim_roster(object.get_value(), reason);
        return decoded ? std::optional(decoded->get_version()) : std::nullopt;
    }

    bool is_numbered(const core::document_name& name)
    {
        return name == configuration_document || name == roster_document;
    }

} // namespace

asio::awaitable<void> document_intake::handle_changes(
    const std::vector<platform::stored_object>& objects)
{
    for (const platform::stored_object& object : objects)
    {
        co_await this->take(object);
    }
}

asio::awaitable<void> document_intake::refresh(core::document_name name)
{
    const auto read = co_await this->store.get(std::move(name));
    if (read.get_object())
    {
        co_await this->take(*read.get_object());
    }
}

asio::awaitable<void> document_intake::take(platform::stored_object object)
{
    auto offered = this->document_of(object);
    if (!offered)
    {
        LOG(ERROR) << "object " << object.get_name() << " version "
                   << object.get_version() << " is malformed";
        co_return;
    }
    const auto held = this->fleet.find(object.get_name());
    const bool is_old = held && offered->get_version() < held->get_version();
    if (is_old && is_numbered(object.get_name()))
    {
        ++this->old_objects;
        co_await this->write_back(object, *held);
        co_return;
    }
    this->fleet.publish(std::move(*offered));
}

asio::awaitable<void> document_intake::write_back(
    const platform::stored_object& stored, const fleet::document& held)
{
    LOG(WARNING) << "the store holds an old version of " << stored.get_name()
                 << "; writing version " << held.get_version() << " back";
    // A conflict means that another watcher was faster, and an unknown result
    // is settled by the next look at the object.
    co_await this->store.put(
        stored.get_name(), stored.get_version(), held.get_body());
}

std::optional<fleet::document> document_intake::document_of(
    const platform::stored_object& object) const
{
    const core::document_name& name = object.get_name();
    if (is_numbered(name))
    {
        const auto number = number_in(object);
        return number ? std::optional(
                   fleet::document::make(name, *number, object.get_value()))
                      : std::nullopt;
    }
    // Host lists have no number of their own. After a restore the store counts
    // from an older version on; the list is then numbered above the held one,
    // or the fleet would never take it.
    auto version = object.get_version();
    const auto held = this->fleet.find(name);
    if (held && version <= held->get_version()
        && object.get_value() != held->get_body())
    {
        version = held->get_version() + core::version_number(1);
    }
    return fleet::document::make(name, version, object.get_value());
}

} // namespace pollenward::main
