#include "main/ctl_commands.hpp"

#include <CLI/CLI.hpp>

#include <cstdint>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace pollenward;

/// Parses endpoints; empty, after an error message, if one is invalid.
std::optional<std::vector<core::endpoint>> parse_daemons(
    const std::vector<std::string>& texts)
{
    std::vector<core::endpoint> daemons;
    for (const std::string& text : texts)
    {
        core::error reason;
        const auto daemon = core::endpoint::create(text, reason);
        if (!daemon)
        {
            std::cerr << reason << '\n';
            return std::nullopt;
        }
        daemons.push_back(*daemon);
    }
    return daemons;
}

/// The command line, bound to CLI11's options.
class command_line {
public:
    command_line()
    {
        this->app.require_subcommand(1);
        this->app.add_flag("--json", this->is_json, "machine-readable output");
        this->validate = this->add("validate", "check a configuration");
        this->diff = this->add(
            "diff", "compare a configuration or patch with the one in force");
        this->patch = this->add("patch", "apply a patch");
        this->status = this->add(
            "status", "show on how many daemons a version is in force");
        this->watch = this->add("watch", "write the status when it changes");
        for (auto* command : { this->validate, this->diff, this->patch })
        {
            command->add_option("file", this->file, "JSON file")->required();
        }
        for (auto* command :
            { this->diff, this->patch, this->status, this->watch })
        {
            command
                ->add_option("--daemon", this->daemons,
                    "admin endpoint of a daemon; if repeated, tried in order")
                ->required();
        }
        this->patch
            ->add_option("--version", this->version,
                "number of the configuration that the patch was made against")
            ->required();
        this->patch->add_option(
            "--id", this->id, "patch id; generated if absent");
    }

    int run(int argc, char** argv)
    {
        try
        {
            this->app.parse(argc, argv);
        }
        catch (const CLI::ParseError& failure)
        {
            const int code = this->app.exit(failure);
            return code == 0 ? 0 : main::to_int(main::exit_code::bad_usage);
        }
        const auto endpoints = parse_daemons(this->daemons);
        if (!endpoints)
        {
            return main::to_int(main::exit_code::bad_usage);
        }
        return main::to_int(this->dispatch(main::ctl_session::make(
            *endpoints, this->is_json, std::cout, std::cerr)));
    }

private:
    CLI::App* add(const char* name, const char* help)
    {
        auto* command = this->app.add_subcommand(name, help);
        command->fallthrough();
        return command;
    }

    main::exit_code dispatch(const main::ctl_session& session) const
    {
        if (this->validate->parsed())
        {
            return main::run_validate(session, this->file);
        }
        if (this->diff->parsed())
        {
            return main::run_diff(session, this->file);
        }
        if (this->patch->parsed())
        {
            return main::run_patch(session, this->file,
                core::version_number(this->version), core::patch_id(this->id));
        }
        return this->status->parsed() ? main::run_status(session)
                                      : main::run_watch(session);
    }

    CLI::App app{ "Pollenward operators' tool" };
    CLI::App* validate = nullptr;
    CLI::App* diff = nullptr;
    CLI::App* patch = nullptr;
    CLI::App* status = nullptr;
    CLI::App* watch = nullptr;
    bool is_json = false;
    std::string file;
    std::vector<std::string> daemons;
    std::uint64_t version = 0;
    std::string id;
};

} // namespace

int main(int argc, char** argv)
{
    command_line line;
    return line.run(argc, argv);
}
