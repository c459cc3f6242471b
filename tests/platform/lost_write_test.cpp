#include "platform/lost_write.hpp"

#include <catch2/catch.hpp>

using namespace pollenward;
using platform::read_result;
using platform::write_fate;

namespace {

read_result at(std::uint64_t version, const std::string& value)
{
    return read_result::found(platform::stored_object::make(
        core::document_name("a"), core::version_number(version), value));
}

} // namespace

// Guards against a write that is taken for lost while it is on its way, and
// against an old equal value that is taken for the write.
TEST_CASE("reading back decides the fate of a lost write", "[platform]")
{
    const core::version_number expected(5);
    const auto fate = [&](const read_result& read) {
        return platform::fate_by_value(read, expected, "new");
    };
    CHECK(fate(at(6, "new")) == write_fate::took_effect);
    CHECK(fate(at(6, "other")) == write_fate::overtaken);
    CHECK(fate(at(5, "old")) == write_fate::pending);
    CHECK(fate(at(5, "new")) == write_fate::pending);
    CHECK(fate(at(4, "new")) == write_fate::undecided);
    CHECK(fate(read_result::absent()) == write_fate::undecided);
    CHECK(fate(read_result::unknown({})) == write_fate::undecided);
    CHECK(platform::fate_by_value(read_result::absent(), {}, "new")
        == write_fate::pending);
}
