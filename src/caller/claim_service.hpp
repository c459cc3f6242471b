#pragma once

#include "caller/caller_request.hpp"
#include "caller/claim_decision.hpp"
#include "caller/claim_parameters.hpp"
#include "caller/claim_roster.hpp"
#include "caller/claim_table.hpp"
#include "core/sharded_map.hpp"
#include "core/sharded_snapshot.hpp"
#include "upstream/request_fingerprint.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include <array>
#include <atomic>
#include <concepts>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace pollenward::caller {

/// Sends claims to their owners on other daemons.
template <class Type>
concept claim_transport = requires(Type& type, const core::daemon_id& owner,
    const claim_parameters& parameters, claim_state state,
    claim_partition partition, core::version_number version,
    const claim_roster& roster) {
    // Returns claim_verdict::no_reply if the owner does not answer in time.
    {
        type.request_claim(owner, parameters)
    } -> std::same_as<boost::asio::awaitable<claim_answer>>;
    // Sends in the background; if the message is lost, the claim stays until it
    // expires.
    {
        type.settle_claim(owner, parameters, state)
    } -> std::same_as<void>;
    {
        type.fetch_claims(owner, partition, version)
    } -> std::same_as<
        boost::asio::awaitable<std::optional<std::vector<claim_record>>>>;
    // Whether more than half of the roster's members sent messages recently.
    {
        type.is_majority_reachable(roster)
    } -> std::same_as<bool>;
};

/// Claims request ids before non-idempotent requests are sent, and answers the
/// claims of other daemons.
template <claim_transport Transport>
class claim_service {
public:
    claim_service(core::daemon_id self, core::incarnation_number incarnation,
        Transport& transport)
        : self(std::move(self))
        , incarnation(incarnation)
        , transport(transport)
        , table(this->self, incarnation)
        , roster(claim_roster())
    {
    }

    /// Claims the id of a request at both owners.
    boost::asio::awaitable<claim_grant> claim(const caller_request& request)
    {
        const auto started_at = core::runtime_clock::now();
        if (!needs_claim(request))
        {
            co_return claim_grant::make(
                claim_status::not_needed, "", started_at);
        }
        pending_claim pending = this->make_pending(request);
        // Released on every exit without a grant, cancellation included, so
        // that the caller can send the request again.
        release_unless_granted release{ *this, pending };
        const auto answers = co_await this->request_from_owners(pending);
        const auto grant = decide_claim(answers, started_at);
        ++this->outcomes[static_cast<std::size_t>(grant.get_status())];
        if (grant.get_status() == claim_status::granted)
        {
            release.is_granted = true;
            this->granted.store(request.get_id(), std::move(pending));
        }
        co_return grant;
    }

    /// Reports the end of a claimed request to the owners. Does nothing for
    /// requests that were not granted a claim.
    void settle(const caller_request& request, claim_state state)
    {
        if (const auto pending = this->granted.extract(request.get_id()))
        {
            this->settle_at_owners(*pending, state);
        }
    }

    /// Installs a newer roster.
    void install_roster(const claim_roster& next, core::time_point now)
    {
        this->table.install_roster(next, now);
        this->roster.store(next);
    }

    claim_roster get_roster() const
    {
        return this->roster.read(
            [](const claim_roster& value) { return value; });
    }

    /// Handles a claim from any daemon.
    claim_answer on_claim(
        const claim_parameters& parameters, core::time_point now)
    {
        return this->table.claim(parameters.get_id(),
            parameters.get_fingerprint(), parameters.get_holder(),
            parameters.get_roster_version(),
            this->transport.is_majority_reachable(this->get_roster()), now);
    }

    void on_settle(
        const core::request_id& id, const claimant& holder, claim_state state)
    {
        this->table.settle(id, holder, state);
    }

    std::optional<std::vector<claim_record>> on_copy(claim_partition partition,
        core::version_number version, core::time_point now)
    {
        return this->table.copy(partition, version, now);
    }

    /// Copies the claims of each partition that is not ready from its other
    /// owner, one partition after the other. Returns how many became ready.
    boost::asio::awaitable<std::size_t> copy_unready_partitions()
    {
        std::size_t copied = 0;
        for (const auto partition :
            this->table.unready_partitions(core::runtime_clock::now()))
        {
            copied += co_await this->copy_partition(partition) ? 1 : 0;
        }
        co_return copied;
    }

    std::size_t expire(core::time_point now) { return this->table.expire(now); }

    /// Number of claims that this daemon has as an owner.
    std::size_t size() { return this->table.size(); }

    /// Number of claims of this daemon that ended with `status`.
    std::uint64_t count(claim_status status) const
    {
        return this->outcomes[static_cast<std::size_t>(status)].load();
    }

    /// Number of partitions that are owned but cannot grant claims yet.
    std::size_t count_unready(core::time_point now)
    {
        return this->table.unready_partitions(now).size();
    }

private:
    /// A requested claim: its owners and the parameters sent to them.
    struct pending_claim {
        std::vector<core::daemon_id> owners;
        claim_parameters parameters;
    };

    struct release_unless_granted {
        claim_service& service;
        const pending_claim pending;
        bool is_granted = false;

        ~release_unless_granted()
        {
            if (!this->is_granted)
            {
                this->service.settle_at_owners(
                    this->pending, claim_state::not_run);
            }
        }
    };

    pending_claim make_pending(const caller_request& request)
    {
        const auto current = this->get_roster();
        const auto fingerprint = upstream::fingerprint_of(
            request.get_kind().get_id(), request.get_message());
        const auto holder = claimant::make(
            this->self, this->incarnation, ++this->last_number);
        return { current.owners_of(partition_of(request.get_id())),
            claim_parameters::make(
                request.get_id(), fingerprint, holder, current.get_version()) };
    }

    boost::asio::awaitable<std::vector<claim_answer>> request_from_owners(
        const pending_claim& pending)
    {
        using namespace boost::asio::experimental::awaitable_operators;
        std::vector<claim_answer> answers;
        if (pending.owners.size() == 2)
        {
            auto [first, second] = co_await (
                this->request_claim(pending.owners[0], pending.parameters)
                && this->request_claim(pending.owners[1], pending.parameters));
            answers = { first, second };
        }
        else if (pending.owners.size() == 1)
        {
            answers.push_back(co_await this->request_claim(
                pending.owners[0], pending.parameters));
        }
        co_return answers;
    }

    boost::asio::awaitable<claim_answer> request_claim(
        core::daemon_id owner, claim_parameters parameters)
    {
        if (owner == this->self)
        {
            co_return this->on_claim(parameters, core::runtime_clock::now());
        }
        co_return co_await this->transport.request_claim(owner, parameters);
    }

    void settle_at_owners(const pending_claim& pending, claim_state state)
    {
        for (const core::daemon_id& owner : pending.owners)
        {
            if (owner == this->self)
            {
                this->on_settle(pending.parameters.get_id(),
                    pending.parameters.get_holder(), state);
            }
            else
            {
                this->transport.settle_claim(owner, pending.parameters, state);
            }
        }
    }

    boost::asio::awaitable<bool> copy_partition(claim_partition partition)
    {
        const auto current = this->get_roster();
        for (const core::daemon_id& owner : current.owners_of(partition))
        {
            if (owner == this->self)
            {
                continue;
            }
            const auto records = co_await this->transport.fetch_claims(
                owner, partition, current.get_version());
            if (records)
            {
                this->table.install_copy(partition, current.get_version(),
                    *records, core::runtime_clock::now());
                co_return true;
            }
        }
        co_return false;
    }

    core::daemon_id self;
    core::incarnation_number incarnation;
    Transport& transport;
    claim_table table;
    core::sharded_snapshot<claim_roster> roster;
    core::sharded_map<core::request_id, pending_claim> granted;
    std::atomic<std::uint64_t> last_number{ 0 };
    std::array<std::atomic<std::uint64_t>, claim_status_count> outcomes{};
};

} // namespace pollenward::caller
