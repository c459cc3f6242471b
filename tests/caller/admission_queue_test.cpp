#include "caller/admission_queue.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>
#include <cstdlib>
#include <map>
#include <vector>

using namespace pollenward;
using namespace pollenward::caller;
using core::rank;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// RapidCheck reads RC_PARAMS at the first property; a value that is set already
// is kept.
const int has_seed = ::setenv("RC_PARAMS", "seed=1", 0);

const core::time_point zero{ seconds(1000) };
constexpr operators::rank_shares shares = { 0, 0.2, 0.1 };

admission_limits limit_of(double concurrency)
{
    return admission_limits::make(concurrency, shares);
}

admission_ticket ticket_of(std::uint64_t number, rank rank,
    const std::string& account, core::time_point deadline)
{
    return admission_ticket::make(
        number, rank, core::account_id(account), deadline);
}

/// Simulates a queue under requests of fixed service time, in steps of 1 ms.
class queue_simulation {
public:
    explicit queue_simulation(
        double concurrency, queue_bounds bounds = queue_bounds())
        : limits(limit_of(concurrency))
        , queue(bounds)
    {
    }

    /// Offers `per_second` requests of a rank evenly during the run.
    void add_load(rank rank, double per_second, std::string account = "all")
    {
        this->loads.push_back({ rank, per_second, 0, std::move(account) });
    }

    void clear_loads() { this->loads.clear(); }

    void run(core::duration time)
    {
        this->offered = {};
        this->served = {};
        this->failed = {};
        this->by_account.clear();
        const auto end = this->now + time;
        for (; this->now < end; this->now += milliseconds(1))
        {
            this->finish_due();
            for (load& each : this->loads)
            {
                this->offer(each);
            }
            this->admit();
        }
    }

    std::array<double, core::rank_count> offered{};
    std::array<double, core::rank_count> served{};
    // Refused, displaced or expired.
    std::array<double, core::rank_count> failed{};
    std::map<std::string, double> by_account;

private:
    struct load {
        core::rank urgency;
        double per_second;
        double due;
        std::string account;
    };

    static constexpr milliseconds service_time{ 25 };
    static constexpr seconds timeout{ 1 };

    void offer(load& each)
    {
        each.due += each.per_second / 1000;
        for (; each.due >= 1; each.due -= 1)
        {
            const auto ticket = ticket_of(++this->number, each.urgency,
                each.account, this->now + timeout);
            this->offered[core::index_of(each.urgency)] += 1;
            const auto result
                = this->queue.offer(ticket, this->limits, this->now);
            const auto& displaced = result.get_displaced();
            if (displaced || result.get_refusal())
            {
                this->fail(displaced ? *displaced : ticket);
            }
        }
    }

    void admit()
    {
        while (true)
        {
            const auto step = this->queue.admit_next(this->limits, this->now);
            for (const auto& ticket : step.get_expired())
            {
                this->fail(ticket);
            }
            const auto& ticket = step.get_admitted();
            if (!ticket)
            {
                return;
            }
            this->running.emplace(this->now + service_time, *ticket);
            this->served[core::index_of(ticket->get_rank())] += 1;
            this->by_account[ticket->get_account().str()] += 1;
        }
    }

    void fail(const admission_ticket& ticket)
    {
        this->failed[core::index_of(ticket.get_rank())] += 1;
    }

    void finish_due()
    {
        while (
            !this->running.empty() && this->running.begin()->first <= this->now)
        {
            this->queue.finish(this->running.begin()->second, service_time);
            this->running.erase(this->running.begin());
        }
    }

    admission_limits limits;
    admission_queue queue;
    std::vector<load> loads;
    std::multimap<core::time_point, admission_ticket> running;
    core::time_point now = zero;
    std::uint64_t number = 0;
};

// Four slots of 25 ms.
constexpr double slots = 4;
constexpr double capacity = 160;

} // namespace

// Guards against lost tickets: each ticket is refused, displaced, expired or
// admitted exactly once, never over the limit and never past its deadline.
TEST_CASE("a queue accounts for each ticket once", "[caller][property]")
{
    CHECK(rc::check("each ticket ends once", [] {
        admission_queue queue(queue_bounds::make(2, 6));
        std::map<std::uint64_t, int> ends;
        std::vector<admission_ticket> running;
        auto now = zero;
        const auto steps = *rc::gen::container<std::vector<int>>(
            200, rc::gen::inRange(0, 1000));
        const auto limits = limit_of(*rc::gen::inRange(1, 4));
        std::uint64_t number = 0;
        const auto advance = [&] {
            while (true)
            {
                const auto step = queue.admit_next(limits, now);
                for (const auto& ticket : step.get_expired())
                {
                    RC_ASSERT(ticket.get_deadline() <= now);
                    ++ends[ticket.get_number()];
                }
                if (!step.get_admitted())
                {
                    return;
                }
                RC_ASSERT(step.get_admitted()->get_deadline() > now);
                ++ends[step.get_admitted()->get_number()];
                running.push_back(*step.get_admitted());
            }
        };
        for (const int step : steps)
        {
            now += milliseconds(step % 11);
            if (step < 700)
            {
                const auto ticket = ticket_of(++number,
                    core::all_ranks[static_cast<std::size_t>(step) % 3],
                    std::string(1, static_cast<char>('a' + step % 4)),
                    now + milliseconds(step % 200));
                const auto result = queue.offer(ticket, limits, now);
                ends[number] += result.get_refusal() ? 1 : 0;
                if (const auto& displaced = result.get_displaced())
                {
                    RC_ASSERT(displaced->get_rank() >= ticket.get_rank());
                    ++ends[displaced->get_number()];
                }
            }
            else if (!running.empty())
            {
                queue.finish(running.front(), milliseconds(20));
                running.erase(running.begin());
            }
            advance();
            const double max_running = limits.get_concurrency();
            RC_ASSERT(static_cast<double>(running.size()) <= max_running);
        }
        now += seconds(10);
        advance();
        for (const auto& [ticket, count] : ends)
        {
            RC_ASSERT(count == 1);
        }
    }));
}

// Guards against urgent requests that wait behind a flood of less urgent ones
// that filled the queue first.
TEST_CASE("urgent requests go first after a background flood", "[caller]")
{
    queue_simulation test(slots);
    test.add_load(rank::background, 10 * capacity);
    test.run(seconds(5));
    test.add_load(rank::urgent, 0.9 * capacity);
    test.run(seconds(20));
    const double offered = test.offered[core::index_of(rank::urgent)];
    CHECK(test.failed[core::index_of(rank::urgent)] <= 0.001 * offered);
    CHECK(test.served[core::index_of(rank::background)]
        >= 0.9 * (20 * capacity - offered));
}

// Guards against ranks that starve while urgent requests alone exceed the
// capacity, and against shares that stay in force after that.
TEST_CASE("ranks keep their minimum shares in an urgent flood", "[caller]")
{
    queue_simulation test(slots);
    test.add_load(rank::background, 10 * capacity);
    test.add_load(rank::standard, 2 * capacity);
    test.run(seconds(5));
    CHECK(test.served[core::index_of(rank::background)]
        >= 0.9 * 0.1 * 5 * capacity);
    test.add_load(rank::urgent, 10 * capacity);
    test.run(seconds(2));
    test.run(seconds(20));
    CHECK(test.served[0] >= 0.65 * 20 * capacity);
    CHECK(test.served[1] >= 0.9 * 0.2 * 20 * capacity);
    CHECK(test.served[2] >= 0.9 * 0.1 * 20 * capacity);
    test.clear_loads();
    test.add_load(rank::background, 10 * capacity);
    test.add_load(rank::urgent, 0.95 * capacity);
    test.run(seconds(20));
    test.run(seconds(20));
    CHECK(test.failed[0] <= 0.001 * test.offered[0]);
}

// Guards against an account that starves the others of its rank by its number
// of requests, in admissions or in queue capacity.
TEST_CASE("a flood from one account does not starve the others", "[caller]")
{
    const double concurrency = GENERATE(1.0, slots);
    queue_simulation test(concurrency, queue_bounds::make(4, 16));
    test.add_load(rank::standard, 10 * capacity, "flooding");
    test.run(seconds(3));
    test.add_load(rank::standard, 10, "modest");
    test.run(seconds(10));
    CHECK(test.by_account["modest"] >= 99);
}

// Guards against callers that wait for an answer that cannot arrive in time,
// and against urgent requests that are refused although less urgent tickets can
// be displaced.
TEST_CASE(
    "a request that cannot be served in time is refused at once", "[caller]")
{
    admission_queue queue(queue_bounds::make(1, 1));
    const auto limits = limit_of(1);
    const auto offer = [&](std::uint64_t number, rank rank, int timeout_ms) {
        return queue.offer(ticket_of(number, rank, std::to_string(number),
                               zero + milliseconds(timeout_ms)),
            limits, zero);
    };
    offer(1, rank::standard, 1000);
    queue.finish(
        *queue.admit_next(limits, zero).get_admitted(), milliseconds(100));
    CHECK_FALSE(offer(2, rank::standard, 1).get_refusal());
    CHECK(queue.admit_next(limits, zero).get_admitted());
    CHECK(offer(3, rank::standard, 100).get_refusal()
        == admission_refusal::deadline);
    CHECK_FALSE(offer(4, rank::background, 1000).get_refusal());
    CHECK_FALSE(offer(5, rank::background, 2000).get_refusal());
    CHECK(offer(6, rank::background, 3000).get_refusal()
        == admission_refusal::queue_full);
    CHECK_FALSE(offer(7, rank::urgent, 1000).get_displaced());
    const auto displaced = offer(8, rank::urgent, 1000).get_displaced();
    REQUIRE(displaced);
    CHECK(displaced->get_number() == 5);
    CHECK(offer(9, rank::urgent, 1000).get_refusal()
        == admission_refusal::queue_full);
}
