#include "child_process.hpp"
#include "eventually.hpp"
#include "http_call.hpp"
#include "local_resources.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

using namespace pollenward::test;

namespace {

/// A pollenward_entry process whose store is unreachable.
class entry_fixture {
public:
    entry_fixture()
        : ports(find_free_ports(4))
        , folder(make_folder())
    {
        this->write_settings("200ms");
        this->daemon = child_process::start("pollenward_entry",
            { "--settings", this->settings_file() },
            (this->folder / "log").string());
        REQUIRE(this->daemon);
        REQUIRE(eventually([this] { return this->ready_status() == 503; }));
    }

    entry_fixture(const entry_fixture&) = delete;
    entry_fixture& operator=(const entry_fixture&) = delete;
    ~entry_fixture() { std::filesystem::remove_all(this->folder); }

    std::string settings_file() const
    {
        return (this->folder / "settings.toml").string();
    }

    void write_settings(const std::string& drain_delay) const
    {
        const auto quoted_endpoint = [this](std::size_t index) {
            return "\"127.0.0.1:" + std::to_string(this->ports[index]) + "\"\n";
        };
        std::ofstream(this->settings_file())
            << "[daemon]\nid=\"d\"\nzone=\"a\"\nregion=\"r\"\nthreads=1\n"
            << "drain_delay=\"" << drain_delay << "\"\ngrace=\"6s\"\n[listen]\n"
            << "callers=" << quoted_endpoint(0)
            << "operators=" << quoted_endpoint(1)
            << "fleet=" << quoted_endpoint(2)
            << "[platform]\nendpoint=" << quoted_endpoint(3)
            << "[zones]\na=\"r\"\n";
    }

    unsigned ready_status() const
    {
        const auto reply = http_call(this->ports[1], "GET", "/ready");
        return reply ? reply->status : 0;
    }

    bool has_logged(const std::string& text) const
    {
        std::ifstream log(this->folder / "log");
        const std::string all{ std::istreambuf_iterator<char>(log), {} };
        return all.find(text) != std::string::npos;
    }

    std::vector<std::uint16_t> ports;
    std::filesystem::path folder;
    std::optional<child_process> daemon;
};

} // namespace

// Guards against a daemon that exits and cuts its requests when its settings
// are rewritten.
TEST_CASE(
    "a daemon reloads its settings on SIGHUP and keeps running", "[process]")
{
    entry_fixture entry;
    entry.daemon->send_signal(SIGHUP);
    CHECK(eventually([&] { return entry.has_logged("settings.read"); }));
    CHECK(entry.ready_status() == 503);
}

TEST_CASE("a daemon reloads changed settings without a signal", "[process]")
{
    entry_fixture entry;
    entry.write_settings("nonsense");
    CHECK(eventually([&] { return entry.has_logged("settings.unreadable"); }));
    entry.write_settings("100ms");
    CHECK(eventually([&] { return entry.has_logged("settings.read"); }));
    entry.daemon->send_signal(SIGTERM);
    CHECK(entry.daemon->wait() == 0);
}

// Guards against a daemon that answers 404 for an existing route because it has
// no configuration yet after its start.
TEST_CASE(
    "a daemon without a configuration refuses requests as not run", "[process]")
{
    entry_fixture entry;
    const auto reply = http_call(entry.ports[0], "GET", "/a/b", "",
        { { "Request-Id", "id-1" }, { "Request-Deadline", "1000" } });
    REQUIRE(reply);
    CHECK(reply->status == 503);
    CHECK_FALSE(reply->header("retry-after").empty());
}
