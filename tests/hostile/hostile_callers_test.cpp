#include "hostile/hostile_site.hpp"

#include <catch2/catch.hpp>

#include <sys/resource.h>

#include <array>
#include <cstdio>
#include <iostream>
#include <string>

using namespace pollenward::hostile;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = kilobyte * kilobyte;
constexpr std::size_t small_crowd = 24;
/// Each caller also costs a read buffer and the growth of its body.
constexpr std::size_t chunking_crowd = 600;
/// Descriptors of a daemon beside those of its callers.
constexpr std::size_t own_descriptors = 100;
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

std::string make_text(std::size_t size)
{
    return std::string(size, 'x');
}

std::string announce(std::size_t body)
{
    return "Content-Length: " + std::to_string(body) + "\r\n\r\n";
}

std::string make_chunk(std::size_t size)
{
    std::array<char, 20> digits{};
    std::snprintf(digits.data(), digits.size(), "%zx\r\n", size);
    return digits.data() + make_text(size) + "\r\n";
}

/// A whole body in one chunk and the start of its trailer.
std::string begin_trailer()
{
    return chunked + make_chunk(kilobyte) + "0\r\n";
}

void check(const run_result& seen, std::size_t most_descriptors)
{
    std::cout << "measured: " << seen.to_text() << std::endl;
    CHECK(seen.is_alive());
    CHECK(seen.get_peak_memory() < memory_bytes);
    CHECK(seen.get_descriptors() < most_descriptors);
    CHECK(seen.are_served_during());
    CHECK(seen.is_served_afterwards());
}

void check_crowd(const hostile_request& request, std::size_t callers)
{
    // The crowd and the daemon have as many descriptors each.
    rlimit descriptors{};
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    REQUIRE(descriptors.rlim_cur > 2 * callers);
    check(
        hostile_site().run_crowd(request, callers), callers + own_descriptors);
}

} // namespace

// Trailer fields were kept without a limit, until the memory was used up.
TEST_CASE("trailer fields without end do not use up the memory")
{
    const std::string field = "Trailer-Field: " + make_text(kilobyte) + "\r\n";
    check_crowd(hostile_request::make("/quick/", begin_trailer())
                    .with_pieces(field, 16 * kilobyte),
        small_crowd);
}

// One trailer line was buffered without a limit while its end was missing.
TEST_CASE("a trailer line without end does not use up the memory")
{
    check_crowd(
        hostile_request::make("/quick/", begin_trailer() + "Trailer-Field: ")
            .with_pieces(make_text(64 * kilobyte), 256),
        small_crowd);
}

// Large bodies that never end hold the memory that other requests need.
TEST_CASE("large bodies one byte short leave memory for ordinary callers")
{
    constexpr std::size_t part = 64 * kilobyte;
    check_crowd(hostile_request::make("/quick/", announce(max_body_bytes))
                    .with_pieces(make_text(part), max_body_bytes / part - 1)
                    .with_last(make_text(part - 1)),
        small_crowd);
}

// Bodies without a length take their memory only while they grow.
TEST_CASE("large bodies in chunks without end leave memory for others")
{
    check_crowd(hostile_request::make("/quick/", chunked)
                    .with_pieces(make_chunk(megabyte), 8),
        chunking_crowd);
}

// A body that grows past its limit must not be kept until its end.
TEST_CASE("chunks past the body limit do not use up the memory")
{
    check_crowd(hostile_request::make("/quick/", chunked)
                    .with_pieces(make_chunk(megabyte), 32),
        chunking_crowd);
}

// The bytes of a refused body must not be kept while they are drained.
TEST_CASE("an announced body past the limit does not use up the memory")
{
    check_crowd(hostile_request::make("/quick/", announce(64 * megabyte))
                    .with_pieces(make_text(64 * kilobyte), 256),
        small_crowd);
}

// Unfinished headers are outside of the budget for bodies.
TEST_CASE("unfinished headers of many callers do not use up the memory")
{
    check_crowd(hostile_request::make("/quick/", "Padding: ")
                    .with_last(make_text(15 * kilobyte)),
        3000);
}

// Bytes behind a request that still runs are outside of the budget for bodies.
TEST_CASE("bytes behind running requests do not use up the memory")
{
    check_crowd(hostile_request::make("/slow/", announce(1) + "x")
                    .with_last(make_text(60 * kilobyte)),
        1200);
}

// Whole bodies are kept while their requests wait or run.
TEST_CASE("large bodies of running requests leave memory for others")
{
    check_crowd(hostile_request::make("/slow/", announce(max_body_bytes))
                    .with_pieces(make_text(megabyte), 8),
        small_crowd);
}

// Many small bodies that never end hold the memory that other requests need.
TEST_CASE("small bodies one byte short of many callers leave memory for others")
{
    constexpr std::size_t body = 24 * kilobyte;
    check_crowd(hostile_request::make("/quick/", announce(body))
                    .with_last(make_text(body - 1)),
        2000);
}

// Bounds against hostile callers must not refuse a legal body in calm.
TEST_CASE("a single body of the largest legal size is served")
{
    check(hostile_site().run_single(max_body_bytes), own_descriptors);
}
