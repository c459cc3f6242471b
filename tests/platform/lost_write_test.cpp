#include "platform/lost_write.hpp"

#include <catch2/catch.hpp>

using namespace pollenward;
using platform::lost_write_state;
using platform::read_result;

namespace {

read_result at(std::uint64_t version, const std::string& value)
{
    return read_result::found(platform::stored_object::make(
        core::document_name("a"), core::version_number(version), value));
}

} // namespace

// Guards against treating a write as lost while it may still arrive, and
// against mistaking an old equal value for the write.
TEST_CASE("reading back determines the state of a lost write", "[platform]")
{
    const core::version_number expected(5);
    const auto state_of = [&](const read_result& read) {
        return platform::resolve_by_value(read, expected, "new");
    };
    CHECK(state_of(at(6, "new")) == lost_write_state::applied);
    CHECK(state_of(at(6, "other")) == lost_write_state::superseded);
    CHECK(state_of(at(5, "old")) == lost_write_state::pending);
    CHECK(state_of(at(5, "new")) == lost_write_state::pending);
    CHECK(state_of(at(4, "new")) == lost_write_state::unknown);
    CHECK(state_of(read_result::absent()) == lost_write_state::unknown);
    CHECK(state_of(read_result::unknown({})) == lost_write_state::unknown);
    CHECK(platform::resolve_by_value(read_result::absent(), {}, "new")
        == lost_write_state::pending);
}
