#pragma once

#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"
#include "main/exit_code.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace pollenward::main {

/// The daemons that a command calls and the streams that it writes to.
class ctl_session {
public:
    static ctl_session make(std::vector<core::endpoint> daemons, bool is_json,
        std::ostream& output, std::ostream& error_output);

    const std::vector<core::endpoint>& get_daemons() const
    {
        return this->daemons;
    }
    bool is_json() const { return this->json; }
    std::ostream& get_output() const { return *this->output; }
    std::ostream& get_error_output() const { return *this->error_output; }

private:
    std::vector<core::endpoint> daemons;
    bool json = false;
    std::ostream* output = nullptr;
    std::ostream* error_output = nullptr;
};

/// Checks a file with a whole configuration.
exit_code run_validate(const ctl_session& session, const std::string& file);

/// Compares the configuration in force with a file that holds a whole
/// configuration or a patch.
exit_code run_diff(const ctl_session& session, const std::string& file);

/// Sends a patch against a configuration number; generates an id if `id` is
/// empty.
exit_code run_patch(const ctl_session& session, const std::string& file,
    core::version_number against, core::patch_id id);

exit_code run_status(const ctl_session& session);

/// Writes the status whenever it changes, until interrupted.
exit_code run_watch(const ctl_session& session);

} // namespace pollenward::main
