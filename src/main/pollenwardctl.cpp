#include "main/exit_code.hpp"
#include "operators/configuration_json.hpp"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

namespace {

using namespace pollenward;

int validate(const std::string& file)
{
    std::ifstream input(file);
    const std::string text{ std::istreambuf_iterator<char>(input), {} };
    std::vector<core::error> faults;
    const auto decoded = operators::decode_configuration(text, faults);
    for (const core::error& fault : faults)
    {
        std::cerr << fault << '\n';
    }
    return main::to_int(
        decoded ? main::exit_code::success : main::exit_code::failure);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{ "Pollenward operators' tool" };
    std::string file;
    auto* check = app.add_subcommand(
        "validate", "check a configuration without applying it");
    check->add_option("file", file, "JSON file with the configuration")
        ->required();
    app.require_subcommand(1);
    CLI11_PARSE(app, argc, argv);
    return validate(file);
}
