#include "main/daemon.hpp"
#include "main/daemon_program.hpp"
#include "main/exit_code.hpp"

#include <CLI/CLI.hpp>

#include <string>

int main(int argc, char** argv)
{
    pollenward::main::ignore_fatal_signals();
    CLI::App app{ "Pollenward daemon" };
    std::string file;
    bool is_check_only = false;
    app.add_option("--settings", file, "TOML file with the settings")
        ->required();
    app.add_flag("--check", is_check_only, "check the settings and exit");
    try
    {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& failure)
    {
        const int code = app.exit(failure);
        return code == 0
            ? 0
            : pollenward::main::to_int(pollenward::main::exit_code::bad_usage);
    }
    const auto loaded = pollenward::main::load_settings(file);
    if (!loaded)
    {
        return pollenward::main::to_int(pollenward::main::exit_code::bad_usage);
    }
    return is_check_only
        ? 0
        : pollenward::main::run_daemon<pollenward::main::daemon>(*loaded, file);
}
