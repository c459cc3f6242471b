#pragma once

#include "fleet/document.hpp"
#include "fleet/member.hpp"

#include <compare>
#include <cstdint>
#include <utility>
#include <vector>

namespace pollenward::fleet {

using member_updates = std::vector<member>;
using document_digests = std::vector<document_digest>;

/// Checks whether a daemon is alive.
class ping {
public:
    /// `documents_hash` covers the digests of all documents of the sender. With
    /// `wants_all`, the reply carries all members.
    static ping make(member sender, member_updates updates,
        std::uint64_t documents_hash, bool wants_all)
    {
        ping made;
        made.sender = std::move(sender);
        made.updates = std::move(updates);
        made.documents_hash = documents_hash;
        made.all = wants_all;
        return made;
    }

    const member& get_sender() const { return this->sender; }
    const member_updates& get_updates() const { return this->updates; }
    std::uint64_t get_documents_hash() const { return this->documents_hash; }
    bool wants_all() const { return this->all; }

    ping with_documents_hash(std::uint64_t hash) const
    {
        ping changed = *this;
        changed.documents_hash = hash;
        return changed;
    }

    auto operator<=>(const ping&) const = default;

private:
    member sender;
    member_updates updates;
    std::uint64_t documents_hash = 0;
    bool all = false;
};

/// The reply to a ping.
class ack {
public:
    /// `digests` lists the sender's documents if its hash over them differs
    /// from that of the ping, and is empty otherwise.
    static ack make(
        member sender, member_updates updates, document_digests digests)
    {
        ack made;
        made.sender = std::move(sender);
        made.updates = std::move(updates);
        made.digests = std::move(digests);
        return made;
    }

    const member& get_sender() const { return this->sender; }
    const member_updates& get_updates() const { return this->updates; }
    const document_digests& get_digests() const { return this->digests; }

    ack with_digests(document_digests next) const
    {
        ack changed = *this;
        changed.digests = std::move(next);
        return changed;
    }

    auto operator<=>(const ack&) const = default;

private:
    member sender;
    member_updates updates;
    document_digests digests;
};

/// Requests that a third daemon ping a target that did not reply to the sender.
class ping_request {
public:
    static ping_request make(
        member sender, core::daemon_id target, core::endpoint target_address)
    {
        ping_request made;
        made.sender = std::move(sender);
        made.target = std::move(target);
        made.target_address = std::move(target_address);
        return made;
    }

    const member& get_sender() const { return this->sender; }
    const core::daemon_id& get_target() const { return this->target; }
    const core::endpoint& get_target_address() const
    {
        return this->target_address;
    }

    auto operator<=>(const ping_request&) const = default;

private:
    member sender;
    core::daemon_id target;
    core::endpoint target_address;
};

} // namespace pollenward::fleet
