#include "main/ctl_commands.hpp"

#include "main/ctl_client.hpp"
#include "main/ctl_patch.hpp"
#include "operators/patch_json.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <optional>
#include <ostream>
#include <random>
#include <utility>

namespace pollenward::main {

namespace {

    using nlohmann::json;

    constexpr core::milliseconds watch_interval{ 1000 };

    std::optional<std::string> read_file(
        const std::string& file, std::vector<core::error>& faults)
    {
        std::ifstream input(file);
        if (!input)
        {
            faults.push_back(
                core::error::make("read file", file, "cannot be opened"));
            return std::nullopt;
        }
        return std::string(std::istreambuf_iterator<char>(input), {});
    }

    json to_json(const std::vector<core::error>& faults)
    {
        json list = json::array();
        for (const core::error& each : faults)
        {
            list.push_back({ { "step", each.get_step() },
                { "peer", each.get_peer() }, { "cause", each.get_cause() } });
        }
        return list;
    }

    /// Writes faults to the output as JSON or to the error output as lines.
    void write_faults(const ctl_session& session, const char* result,
        const std::vector<core::error>& faults)
    {
        if (session.is_json())
        {
            session.get_output()
                << json{ { "result", result }, { "faults", to_json(faults) } }
                << '\n';
            return;
        }
        for (const core::error& each : faults)
        {
            session.get_error_output() << each << '\n';
        }
    }

    /// The body of the first response with status 200.
    std::optional<std::string> fetch(const ctl_session& session,
        const std::string& target, std::vector<core::error>& faults)
    {
        ctl_client client;
        if (session.get_daemons().empty())
        {
            faults.push_back(core::error::make(
                "get " + target, "self", "no --daemon was given"));
        }
        for (const core::endpoint& daemon : session.get_daemons())
        {
            const auto result = client.get(daemon, target);
            if (result.is_ok())
            {
                return result.get_body();
            }
            faults.push_back(result.get_delivery() == ctl_delivery::answered
                    ? core::error::make("get " + target, daemon.str(),
                        "status " + std::to_string(result.get_status()))
                    : result.get_cause());
        }
        return std::nullopt;
    }

    /// A file with a "number" is a whole configuration; otherwise it is a
    /// patch of the configuration in force.
    std::optional<operators::configuration> decode_target_configuration(
        const std::string& text, const operators::configuration& in_force,
        std::vector<core::error>& faults)
    {
        const json document = json::parse(text, nullptr, false);
        if (!document.is_object() || document.contains("number"))
        {
            return operators::decode_configuration(text, faults);
        }
        core::error reason;
        const auto change = operators::decode_patch(
            core::patch_id("diff"), in_force.get_number(), text, reason);
        if (!change)
        {
            faults.push_back(reason);
            return std::nullopt;
        }
        return operators::apply_patch(*change, in_force, faults);
    }

    void write_differences(const ctl_session& session,
        core::version_number number,
        const std::vector<operators::configuration_difference>& differences)
    {
        if (!session.is_json())
        {
            for (const auto& each : differences)
            {
                session.get_output()
                    << each.get_path() << ": " << each.get_old_value() << " -> "
                    << each.get_new_value() << '\n';
            }
            return;
        }
        json list = json::array();
        for (const auto& each : differences)
        {
            list.push_back(
                { { "path", each.get_path() }, { "old", each.get_old_value() },
                    { "new", each.get_new_value() } });
        }
        session.get_output() << json{ { "in_force", number.get() },
            { "differences", std::move(list) } }
                             << '\n';
    }

    std::string generate_id()
    {
        std::random_device source;
        std::string id = "patch-";
        constexpr char digits[] = "0123456789abcdef";
        for (int i = 0; i < 32; ++i)
        {
            id += digits[source() % 16];
        }
        return id;
    }

    exit_code to_exit_code(operators::patch_outcome outcome)
    {
        using operators::patch_outcome;
        switch (outcome)
        {
        case patch_outcome::accepted:
        case patch_outcome::already_applied:
            return exit_code::success;
        case patch_outcome::stale:
        case patch_outcome::ambiguous:
        case patch_outcome::invalid:
            return exit_code::refused;
        case patch_outcome::unavailable:
            return exit_code::failure;
        case patch_outcome::unknown:
            break;
        }
        return exit_code::unknown_outcome;
    }

    void write_reply(const ctl_session& session, const core::patch_id& id,
        const operators::patch_reply& reply)
    {
        if (session.is_json())
        {
            json document = json::parse(operators::encode_reply(reply));
            document["id"] = id.str();
            session.get_output() << document << '\n';
            return;
        }
        session.get_output()
            << "patch " << id << ": " << to_string(reply.get_outcome())
            << (reply.is_applied() ? ", configuration " : ", in force: ")
            << reply.get_number() << '\n';
        write_faults(session, "", reply.get_faults());
    }

    void write_status(const ctl_session& session, const std::string& text,
        const operators::fleet_status& status)
    {
        if (session.is_json())
        {
            session.get_output() << text << std::endl;
            return;
        }
        session.get_output()
            << "configuration " << status.get_in_force() << " in force on "
            << status.get_confirmed_count() << " of "
            << status.get_daemon_count() << " daemons, according to "
            << status.get_reporter() << '\n';
        for (const auto& each : status.get_unconfirmed())
        {
            session.get_output()
                << "not confirmed: " << each.get_id() << ", last reported "
                << each.get_number() << '\n';
        }
        session.get_output().flush();
    }

} // namespace

ctl_session ctl_session::make(std::vector<core::endpoint> daemons, bool is_json,
    std::ostream& output, std::ostream& error_output)
{
    ctl_session made;
    made.daemons = std::move(daemons);
    made.json = is_json;
    made.output = &output;
    made.error_output = &error_output;
    return made;
}

exit_code run_validate(const ctl_session& session, const std::string& file)
{
    std::vector<core::error> faults;
    const auto text = read_file(file, faults);
    const auto decoded
        = text ? operators::decode_configuration(*text, faults) : std::nullopt;
    write_faults(session, decoded ? "valid" : "invalid", faults);
    return decoded ? exit_code::success : exit_code::failure;
}

exit_code run_diff(const ctl_session& session, const std::string& file)
{
    std::vector<core::error> faults;
    const auto text = read_file(file, faults);
    const auto body
        = text ? fetch(session, "/configuration", faults) : std::nullopt;
    const auto in_force
        = body ? operators::decode_configuration(*body, faults) : std::nullopt;
    const auto wanted = in_force
        ? decode_target_configuration(*text, *in_force, faults)
        : std::nullopt;
    if (!wanted)
    {
        write_faults(session, "failed", faults);
        return exit_code::failure;
    }
    write_differences(session, in_force->get_number(),
        operators::compare_configurations(*in_force, *wanted));
    return exit_code::success;
}

exit_code run_patch(const ctl_session& session, const std::string& file,
    core::version_number against, core::patch_id id)
{
    std::vector<core::error> faults;
    const auto text = read_file(file, faults);
    core::error reason;
    const auto wanted = text ? operators::decode_patch(
                            id.is_empty() ? core::patch_id(generate_id()) : id,
                            against, *text, reason)
                             : std::nullopt;
    if (!wanted)
    {
        if (text)
        {
            faults.push_back(reason);
        }
        write_faults(session, "failed", faults);
        return exit_code::failure;
    }
    ctl_client client;
    const auto reply = send_patch(client, session.get_daemons(), *wanted);
    write_reply(session, wanted->get_id(), reply);
    return to_exit_code(reply.get_outcome());
}

exit_code run_status(const ctl_session& session)
{
    std::vector<core::error> faults;
    const auto body = fetch(session, "/status", faults);
    const auto status = body ? operators::decode_status(*body) : std::nullopt;
    if (!status)
    {
        write_faults(session, "failed", faults);
        return exit_code::failure;
    }
    write_status(session, *body, *status);
    return exit_code::success;
}

exit_code run_watch(const ctl_session& session)
{
    ctl_client client;
    std::optional<operators::fleet_status> last;
    while (true)
    {
        std::vector<core::error> faults;
        const auto body = fetch(session, "/status", faults);
        const auto status
            = body ? operators::decode_status(*body) : std::nullopt;
        if (!status && !last)
        {
            write_faults(session, "failed", faults);
            return exit_code::failure;
        }
        if (status && status != last)
        {
            write_status(session, *body, *status);
            last = status;
        }
        client.pause(watch_interval);
    }
}

} // namespace pollenward::main
