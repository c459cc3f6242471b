#include "main/document_publisher.hpp"

#include "caller/claim_roster_json.hpp"
#include "main/document_names.hpp"
#include "operators/configuration_json.hpp"

#include <easylogging++.h>

#include <utility>

namespace pollenward::main {

namespace asio = boost::asio;

namespace {

    /// Decodes the number in the value of a numbered object.
    std::optional<core::version_number> decode_number(
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

asio::awaitable<void> document_publisher::handle_changes(
    const std::vector<platform::stored_object>& objects)
{
    for (const platform::stored_object& object : objects)
    {
        co_await this->publish_object(object);
    }
}

asio::awaitable<void> document_publisher::refresh(core::document_name name)
{
    const auto read = co_await this->store.get(std::move(name));
    if (read.get_object())
    {
        co_await this->publish_object(*read.get_object());
    }
}

asio::awaitable<void> document_publisher::publish_object(
    platform::stored_object object)
{
    auto document = this->make_document(object);
    if (!document)
    {
        LOG(ERROR) << "object " << object.get_name() << " version "
                   << object.get_version() << " is malformed";
        co_return;
    }
    const auto current = this->fleet.find(object.get_name());
    const bool is_old
        = current && document->get_version() < current->get_version();
    if (is_old && is_numbered(object.get_name()))
    {
        ++this->old_objects;
        co_await this->write_back(object, *current);
        co_return;
    }
    this->fleet.publish(std::move(*document));
}

asio::awaitable<void> document_publisher::write_back(
    const platform::stored_object& stored, const fleet::document& current)
{
    LOG(WARNING) << "the store has an old version of " << stored.get_name()
                 << "; writing version " << current.get_version() << " back";
    // A conflict means that another watcher wrote first; an unknown result is
    // resolved when the object is read next.
    co_await this->store.put(
        stored.get_name(), stored.get_version(), current.get_body());
}

std::optional<fleet::document> document_publisher::make_document(
    const platform::stored_object& object) const
{
    const core::document_name& name = object.get_name();
    if (is_numbered(name))
    {
        const auto number = decode_number(object);
        return number ? std::optional(
                   fleet::document::make(name, *number, object.get_value()))
                      : std::nullopt;
    }
    // Host lists contain no number. After a restore the store counts on from an
    // older version; a changed list then gets a version above the current one,
    // because the fleet would never accept it otherwise.
    auto version = object.get_version();
    const auto current = this->fleet.find(name);
    if (current && version <= current->get_version()
        && object.get_value() != current->get_body())
    {
        version = current->get_version() + core::version_number(1);
    }
    return fleet::document::make(name, version, object.get_value());
}

} // namespace pollenward::main
