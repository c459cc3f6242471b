#include "platform/object_client.hpp"

#include "platform/object_json.hpp"

#include <utility>

namespace pollenward::platform {

namespace asio = boost::asio;

namespace {

    constexpr core::seconds call_timeout{ 2 };

    service_call get_call(const core::document_name& name)
    {
        service_call request;
        request.kind = call_kind::get;
        request.method = "GET";
        request.target = "/v1/objects/" + name.str();
        request.timeout = call_timeout;
        return request;
    }

    service_call put_call(const core::document_name& name,
        core::version_number expected, std::string value)
    {
        service_call request;
        request.kind = call_kind::put;
        request.method = "PUT";
        request.target = "/v1/objects/" + name.str();
        request.headers.push_back(core::header_field::make(
            "If-Match", std::to_string(expected.get())));
        request.body = std::move(value);
        request.timeout = call_timeout;
        return request;
    }

    service_call watch_call(store_revision after, core::milliseconds wait)
    {
        service_call request;
        request.kind = call_kind::watch;
        request.method = "GET";
        request.target = "/v1/watch?after=" + std::to_string(after.get_number())
            + "&wait_ms=" + std::to_string(wait.count());
        request.timeout = wait + call_timeout;
        return request;
    }

} // namespace

object_client::object_client(core::endpoint service)
    : service(std::move(service))
{
}

asio::awaitable<read_result> object_client::get(core::document_name name)
{
    auto request = get_call(name);
    const auto reply = co_await this->service.call(std::move(request));
    const std::string step = "get object " + name.str();
    if (reply.status == 0)
    {
        co_return read_result::unknown(
            this->service.make_error(step, reply.cause));
    }
    if (reply.status == 404)
    {
        co_return read_result::absent();
    }
    auto object
        = reply.status == 200 ? decode_object(reply.body) : std::nullopt;
    if (!object || object->get_name() != name)
    {
        co_return read_result::unknown(this->service.make_error(step,
            "status " + std::to_string(reply.status)
                + " without the object asked for"));
    }
    co_return read_result::found(std::move(*object));
}

asio::awaitable<update_result> object_client::put(
    core::document_name name, core::version_number expected, std::string value)
{
    auto request = put_call(name, expected, std::move(value));
    const auto reply = co_await this->service.call(std::move(request));
    const std::string step = "put object " + name.str();
    if (reply.status == 0)
    {
        co_return update_result::unknown(
            this->service.make_error(step, reply.cause));
    }
    const auto version = decode_version(reply.body);
    if (version && reply.status == 200)
    {
        co_return update_result::applied(*version);
    }
    if (version && reply.status == 412)
    {
        co_return update_result::conflict(*version);
    }
    co_return update_result::unknown(this->service.make_error(
        step, "status " + std::to_string(reply.status) + " without a version"));
}

asio::awaitable<watch_result> object_client::watch(
    store_revision after, core::milliseconds wait)
{
    auto request = watch_call(after, wait);
    const auto reply = co_await this->service.call(std::move(request));
    if (reply.status == 0)
    {
        co_return watch_result::failed(
            this->service.make_error("watch objects", reply.cause));
    }
    auto changes
        = reply.status == 200 ? decode_changes(reply.body) : std::nullopt;
    if (!changes)
    {
        co_return watch_result::failed(this->service.make_error("watch objects",
            "status " + std::to_string(reply.status)
                + " without a change list"));
    }
    co_return std::move(*changes);
}

} // namespace pollenward::platform
