#pragma once

#include "hostile/worker_behaviour.hpp"
#include "soak/http_endpoint.hpp"
#include "soak/platform_store.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <optional>
#include <string>

namespace pollenward::hostile {

/// A worker of a service, listed in the store.
template <worker_behaviour Behaviour>
class listed_worker {
public:
    listed_worker(boost::asio::io_context& context, soak::platform_store& store,
        std::string id, const std::string& service, int slots)
        : id(std::move(id))
        , endpoint(context,
              [this](
                  const soak::http_request& received, soak::tcp::socket& peer) {
                  return this->answer(received, peer);
              })
    {
        store.put("servers", this->id,
            { { "Service", service },
                { "Address", this->endpoint.get_address() }, { "Zone", "a" },
                { "Version", "v1" }, { "Slots", slots }, { "State", "ready" },
                { "WarmupLeftS", 0 }, { "Sequence", 4 },
                { "born", 1764928800000ULL } });
    }

private:
    boost::asio::awaitable<std::optional<soak::http_response>> answer(
        const soak::http_request& received, soak::tcp::socket& peer)
    {
        if (received.target() == "/health")
        {
            soak::http_response healthy(boost::beast::http::status::ok, 11);
            healthy.set("Instance-Id", this->id);
            co_return healthy;
        }
        co_return co_await Behaviour::answer(received, peer);
    }

    std::string id;
    soak::http_endpoint endpoint;
};

} // namespace pollenward::hostile
