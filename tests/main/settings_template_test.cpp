#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace {

std::string read_file(const std::string& path)
{
    std::ifstream input(std::string(POLLENWARD_SOURCES) + "/" + path);
    REQUIRE(input);
    return { std::istreambuf_iterator<char>(input), {} };
}

std::set<std::string> find_names(
    const std::string& text, const std::string& pattern)
{
    std::set<std::string> names;
    const std::regex expression(pattern);
    for (std::sregex_iterator each(text.begin(), text.end(), expression), end;
         each != end; ++each)
    {
        names.insert((*each)[1]);
    }
    return names;
}

} // namespace

// Guards against a placeholder that the kit of review/ does not fill, with
// which none of its cases starts a daemon.
TEST_CASE("the settings template has only placeholders of the review", "[main]")
{
    auto filled = find_names(
        read_file("review/standins/kit.cpp"), R"re(\{ "([A-Z][\w.]*)", )re");
    filled.insert("Zones");
    const auto used = find_names(
        read_file("deploy/settings.toml"), R"re(\{\{[#/]?([A-Z][\w.]*)\}\})re");
    CHECK(used.size() > 10);
    for (const std::string& name : used)
    {
        INFO(name);
        CHECK(filled.count(name) == 1);
    }
}
