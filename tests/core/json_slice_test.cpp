#include "core/json_slice.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace pollenward::core;

namespace {

using nlohmann::json;

json any_value(int depth)
{
    switch (*rc::gen::inRange(0, depth > 0 ? 5 : 3))
    {
    case 0:
        return *rc::gen::arbitrary<int>();
    case 1:
        return *rc::gen::container<std::string>(
            rc::gen::elementOf(std::string("a\"\\[]{},: \n")));
    case 2:
        return nullptr;
    case 3: {
        json list = json::array();
        for (int left = *rc::gen::inRange(0, 4); left > 0; --left)
        {
            list.push_back(any_value(depth - 1));
        }
        return list;
    }
    default: {
        json object = json::object();
        for (int left = *rc::gen::inRange(0, 4); left > 0; --left)
        {
            object["k" + std::to_string(left)] = any_value(depth - 1);
        }
        return object;
    }
    }
}

} // namespace

// Guards against a value that is cut at a bracket or comma within a string.
TEST_CASE("slices are the values of arrays and objects", "[core][property]")
{
    CHECK(rc::check("a parsed slice is the value", [] {
        const json list = json::array({ any_value(3), any_value(3) });
        const std::string text = list.dump(*rc::gen::inRange(-1, 3));
        const auto parts = split_array(text);
        RC_ASSERT(parts && parts->size() == 2);
        RC_ASSERT(json::parse((*parts)[0]) == list[0]);
        RC_ASSERT(json::parse((*parts)[1]) == list[1]);
        const json object = { { "a", list[0] }, { "b", list[1] } };
        const std::string object_text = object.dump(*rc::gen::inRange(-1, 3));
        const auto members = split_object(object_text);
        RC_ASSERT(members && members->size() == 2);
        RC_ASSERT(json::parse(members->at("a")) == list[0]);
        RC_ASSERT(json::parse(members->at("b")) == list[1]);
    }));
    CHECK(rc::check("any text is split or refused", [] {
        const auto text = *rc::gen::container<std::string>(
            rc::gen::elementOf(std::string("a\"\\[]{},: ")));
        split_array(text);
        split_object(text);
        RC_ASSERT(nesting_depth(text) <= text.size());
    }));
}

TEST_CASE("empty and foreign texts", "[core]")
{
    CHECK(split_array(" [ ] ")->empty());
    CHECK(split_object("{}")->empty());
    CHECK_FALSE(split_array("{}"));
    CHECK_FALSE(split_object("[1]"));
    CHECK_FALSE(split_object("{1}"));
    CHECK_FALSE(split_array("["));
    CHECK(nesting_depth("[[{}]]") == 3);
    CHECK(nesting_depth(R"("[[[")") == 0);
    CHECK(nesting_depth("]]][") == 1);
}
