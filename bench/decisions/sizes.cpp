#include "sizes.hpp"

#include "allocation_count.hpp"
#include "inputs.hpp"

#include "caller/claim_roster_json.hpp"
#include "caller/claim_table.hpp"
#include "fleet/membership.hpp"
#include "fleet/message_codec.hpp"
#include "operators/configuration_json.hpp"
#include "operators/metrics.hpp"

#include <cstdio>
#include <string>
#include <vector>

namespace pollenward::bench {

namespace {

    const core::time_point start{ core::seconds(1000) };

    void print(const std::string& name, double bytes)
    {
        std::printf("sizes.%s %.5g B\n", name.c_str(), bytes);
    }

    void print_message(const std::string& name, const fleet::message& content)
    {
        print(name, static_cast<double>(fleet::encode_message(content).size()));
    }

    void print_messages()
    {
        for (const int workers : { 2, 12, 19, 24 })
        {
            const std::string suffix = ".workers" + std::to_string(workers);
            print_message("evidence_report" + suffix,
                make_report(101, workers, target_zones, 90'000));
            const std::vector<upstream::verdict> ejected(1,
                upstream::verdict::make(worker_name(1),
                    upstream::worker_state::ejected, 0, core::seconds(5), 1));
            print_message("verdict_reply" + suffix,
                fleet::verdict_reply::make(
                    ejected, 2.5, core::seconds(2), false, {}));
        }
        const auto self = make_member(101, target_zones);
        print_message(
            "ping.updates0", fleet::ping::make(self, {}, ~0ULL, false));
        print_message("ping.updates10",
            fleet::ping::make(
                self, fleet::member_updates(10, self), ~0ULL, false));
    }

    void print_documents()
    {
        print("configuration.routes2400",
            static_cast<double>(operators::encode_configuration(
                make_configuration(target_routes))
                                    .size()));
        print("claim_roster.members470",
            static_cast<double>(caller::encode_claim_roster(
                make_roster(target_daemons, target_zones))
                                    .size()));
    }

    void print_claim_memory()
    {
        constexpr int count = 100'000;
        const auto roster = make_roster(2, 2);
        caller::claim_table table(
            daemon_name(0), core::incarnation_number(1'790'000'000'000));
        table.install_roster(roster, start);
        const auto claiming_daemon = caller::claimant::make(
            daemon_name(1), core::incarnation_number(1), 1);
        const std::size_t before = heap_bytes();
        for (int i = 0; i < count; ++i)
        {
            // 36 characters, the length of a UUID.
            std::string id = std::to_string(i);
            id.insert(0, 36 - id.size(), '0');
            table.claim(core::request_id(id), 7, claiming_daemon,
                roster.get_version(), true, start);
        }
        const auto used = static_cast<double>(heap_bytes() - before);
        print("memory.claim", used / static_cast<double>(table.size()));
    }

    void print_member_memory()
    {
        fleet::membership tested(make_member(0, target_zones), {}, 1);
        const std::size_t before = heap_bytes();
        for (int i = 1; i < target_daemons; ++i)
        {
            tested.on_record(make_member(i, target_zones), start);
        }
        const auto used = static_cast<double>(heap_bytes() - before);
        print("memory.member", used / (target_daemons - 1));
    }

    /// Prints the mean over the first accounts, each of which gets its own
    /// series.
    void print_account_memory()
    {
        operators::metrics tested;
        const auto record = [&](int account) {
            tested.record(core::rank::standard,
                core::account_id("account-" + std::to_string(account)),
                caller::outcome_kind::answered, core::milliseconds(7));
        };
        record(0);
        const std::size_t before = heap_bytes();
        constexpr int few = 64;
        for (int i = 1; i <= few; ++i)
        {
            record(i);
        }
        const auto after_few = static_cast<double>(heap_bytes() - before);
        print("memory.account_series", after_few / few);
        for (int i = 0; i < 28'000; ++i)
        {
            record(i);
        }
        print("memory.metrics_of_28000_accounts",
            static_cast<double>(heap_bytes() - before));
    }

} // namespace

void print_sizes()
{
    print_messages();
    print_documents();
    print_claim_memory();
    print_member_memory();
    print_account_memory();
}

} // namespace pollenward::bench
