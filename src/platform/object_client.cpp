#include "platform/object_client.hpp"

#include "platform/object_json.hpp"

#include <utility>

namespace pollenward::platform {

namespace asio = boost::asio;

namespace {

    constexpr core::seconds call_timeout{ 2 };

    service_call get_call(const core::document_name& name)
    {
        service_call wanted;
        wanted.kind = call_kind::get;
        wanted.method = "GET";
        wanted.target = "/v1/objects/" + name.str();
        wanted.limit = call_timeout;
        return wanted;
    }

    service_call put_call(const core::document_name& name,
        core::version_number expected, std::string value)
    {
        service_call wanted;
        wanted.kind = call_kind::put;
        wanted.method = "PUT";
        wanted.target = "/v1/objects/" + name.str();
        wanted.headers.push_back(core::header_field::make(
            "If-Match", std::to_string(expected.get())));
        wanted.body = std::move(value);
        wanted.limit = call_timeout;
        return wanted;
    }

    service_call watch_call(store_revision after, core::milliseconds wait)
    {
        service_call wanted;
        wanted.kind = call_kind::watch;
        wanted.method = "GET";
        wanted.target = "/v1/watch?after=" + std::to_string(after.get())
            + "&wait_ms=" + std::to_string(wait.count());
        wanted.limit = wait + call_timeout;
        return wanted;
    }

} // namespace

object_client::object_client(core::endpoint service)
    : service(std::move(service))
{
}

asio::awaitable<read_result> object_client::get(core::document_name name)
{
    auto wanted = get_call(name);
    const auto done = co_await this->service.call(std::move(wanted));
    const std::string step = "get object " + name.str();
    if (done.status == 0)
    {
        co_return read_result::unknown(this->service.fault(step, done.cause));
    }
    if (done.status == 404)
    {
        co_return read_result::absent();
    }
    auto object = done.status == 200 ? decode_object(done.body) : std::nullopt;
    if (!object || object->get_name() != name)
    {
        co_return read_result::unknown(this->service.fault(step,
            "status " + std::to_string(done.status)
                + " without the object asked for"));
    }
    co_return read_result::found(std::move(*object));
}

asio::awaitable<update_result> object_client::put(
    core::document_name name, core::version_number expected, std::string value)
{
    auto wanted = put_call(name, expected, std::move(value));
    const auto done = co_await this->service.call(std::move(wanted));
    const std::string step = "put object " + name.str();
    if (done.status == 0)
    {
        co_return update_result::unknown(this->service.fault(step, done.cause));
    }
    const auto version = decode_version(done.body);
    if (version && done.status == 200)
    {
        co_return update_result::applied(*version);
    }
    if (version && done.status == 412)
    {
        co_return update_result::conflict(*version);
    }
    co_return update_result::unknown(this->service.fault(
        step, "status " + std::to_string(done.status) + " without a version"));
}

asio::awaitable<watch_result> object_client::watch(
    store_revision after, core::milliseconds wait)
{
    auto wanted = watch_call(after, wait);
    const auto done = co_await this->service.call(std::move(wanted));
    if (done.status == 0)
    {
        co_return watch_result::failed(
            this->service.fault("watch objects", done.cause));
    }
    auto changes
        = done.status == 200 ? decode_changes(done.body) : std::nullopt;
    if (!changes)
    {
        co_return watch_result::failed(this->service.fault("watch objects",
            "status " + std::to_string(done.status)
                + " without a change list"));
    }
    co_return std::move(*changes);
}

} // namespace pollenward::platform
