#include "main/guard_link.hpp"

#include "core/rendezvous.hpp"
#include "upstream/request_fingerprint.hpp"

#include <easylogging++.h>

#include <string>
#include <vector>

namespace pollenward::main {

namespace {

    /// With each daemon passing a word on to three others, it reaches 470
    /// daemons in about six steps.
    constexpr std::size_t notice_fanout = 3;

    std::uint64_t fingerprint_of(const upstream::forward_request& request)
    {
        return upstream::fingerprint_of(
            request.get_kind(), request.get_message());
    }

} // namespace

bool guard_link::is_blocked(const caller::caller_request& request) const
{
    const auto fingerprint = upstream::fingerprint_of(
        request.get_kind().get_id(), request.get_message());
    return this->guard.is_blocked(fingerprint, core::runtime_clock::now());
}

void guard_link::on_crash(
    const upstream::forward_request& request, const core::worker_id& worker)
{
    this->on_notice(fleet::guard_notice::make(
        fingerprint_of(request), request.get_id(), worker));
}

void guard_link::on_success(const upstream::forward_request& request)
{
    if (this->guard.size() != 0)
    {
        this->guard.on_success(fingerprint_of(request));
    }
}

void guard_link::on_notice(const fleet::guard_notice& notice)
{
    const auto now = core::runtime_clock::now();
    const auto fingerprint = notice.get_fingerprint();
    const bool was_blocked = this->guard.is_blocked(fingerprint, now);
    if (!this->guard.on_crash(fingerprint, notice.get_worker(), now))
    {
        return;
    }
    if (!was_blocked && this->guard.is_blocked(fingerprint, now))
    {
        LOG(WARNING) << "request " << notice.get_request()
                     << " blocked: it broke the connections to "
                     << upstream::max_crashed_workers << " workers";
    }
    this->pass_on(notice);
}

void guard_link::pass_on(const fleet::guard_notice& notice)
{
    std::vector<core::daemon_id> others;
    const auto self = this->fleet.self().get_id();
    for (const fleet::zone_daemon& each : this->fleet.live_daemons())
    {
        if (each.get_daemon() != self)
        {
            others.push_back(each.get_daemon());
        }
    }
    // Each daemon chooses others, so that the word reaches all of them.
    const std::string key
        = self.str() + std::to_string(notice.get_fingerprint());
    for (const auto& peer : core::rendezvous_top(key, others, notice_fanout))
    {
        this->fleet.tell(peer, notice);
    }
}

} // namespace pollenward::main
