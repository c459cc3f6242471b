#pragma once

#include "hostile/hostile_request.hpp"
#include "hostile/listed_worker.hpp"
#include "hostile/process_usage.hpp"
#include "hostile/run_result.hpp"
#include "process/child_process.hpp"
#include "soak/http_endpoint.hpp"
#include "soak/platform_store.hpp"
#include "soak/soak_time.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <optional>

namespace pollenward::hostile {

/// The limits of the daemon under test.
inline constexpr std::size_t memory_megabytes = 64;
inline constexpr std::size_t memory_bytes = memory_megabytes << 20U;
inline constexpr std::size_t max_body_bytes = 8U << 20U;
inline constexpr std::size_t max_header_bytes = 16384;

/// One daemon with low limits, a store, a quick worker behind "/quick/" and one
/// behind "/slow/" that does not end its requests.
class hostile_site {
public:
    hostile_site();
    ~hostile_site();
    hostile_site(const hostile_site&) = delete;
    hostile_site& operator=(const hostile_site&) = delete;

    /// Lets a crowd send the request and leave its connections open; an
    /// ordinary caller calls while the crowd sends, when the daemon has read
    /// what was sent, and when the crowd is gone.
    run_result run_crowd(const hostile_request& request, std::size_t callers);

    /// Sends one request, which is not sent again, to an idle daemon.
    run_result run_single(std::size_t body_size);

private:
    void configure();
    void write_settings() const;
    template <class Play>
    run_result run(Play play);
    boost::asio::awaitable<void> start_daemon();
    boost::asio::awaitable<void> play_crowd(
        hostile_request request, std::size_t callers);
    boost::asio::awaitable<void> play_single(std::size_t body_size);
    boost::asio::awaitable<void> observe();
    template <std::predicate Check>
    boost::asio::awaitable<bool> wait_until(Check check, soak::seconds limit);
    boost::asio::awaitable<void> call_during();
    boost::asio::awaitable<bool> is_ready();
    boost::asio::ip::tcp::endpoint caller_endpoint() const;

    boost::asio::io_context context;
    soak::platform_store store;
    listed_worker<quick_behaviour> quick_worker;
    listed_worker<slow_behaviour> slow_worker;
    std::uint16_t caller_port;
    std::uint16_t operator_port;
    std::uint16_t fleet_port;
    std::filesystem::path folder;
    std::optional<test::child_process> daemon;
    process_usage peak;
    std::vector<ordinary_outcome> during;
    ordinary_outcome afterwards;
};

} // namespace pollenward::hostile
