#include "core/endpoint.hpp"

#include <catch2/catch.hpp>

using namespace pollenward::core;

TEST_CASE("an endpoint is parsed from an IP address and a port", "[core]")
{
    error reason;
    const auto v4 = endpoint::create("127.0.0.1:8080", reason);
    REQUIRE(v4);
    CHECK(v4->get_address() == "127.0.0.1");
    CHECK(v4->get_port() == 8080);
    const auto v6 = endpoint::create("[::1]:80", reason);
    REQUIRE(v6);
    CHECK(v6->str() == "[::1]:80");
}

// Guards against settings that would need a name lookup, which blocks.
TEST_CASE("an endpoint with a host name or a bad port is refused", "[core]")
{
    for (const char* text : { "localhost:80", "127.0.0.1",
             "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x", ":80" })
    {
        error reason;
        CHECK_FALSE(endpoint::create(text, reason));
        CHECK(reason.get_peer() == text);
        CHECK_FALSE(reason.get_cause().empty());
    }
}
