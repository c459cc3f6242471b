#include "soak/caller.hpp"

#include "soak/http_endpoint.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <cstdio>
#include <deque>
#include <tuple>
#include <utility>

namespace pollenward::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace asio::experimental::awaitable_operators;

namespace {

    constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
    /// How long a caller waits beyond its deadline.
    constexpr seconds patience{ 2 };
    using response = http::response<http::string_body>;

    /// Whether a success is a worker's whole answer to the request.
    bool is_whole(const response& answer, const std::string& id)
    {
        const std::string& body = answer.body();
        return answer.count("Server-Signature") > 0
            && body.size() > 2 * id.size() && body.rfind(id, 0) == 0
            && body.compare(body.size() - id.size(), id.size(), id) == 0;
    }

} // namespace

std::string_view to_string(caller_habit habit)
{
    constexpr std::array<std::string_view, 7> names{ "kept", "pipelining",
        "slow_body", "chunked_body", "slow_reading", "persistent",
        "half_closing" };
    return names.at(static_cast<std::size_t>(habit));
}

struct caller::connection {
    explicit connection(const asio::any_io_executor& executor)
        : socket(executor)
    {
    }

    asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    daemon_process* daemon = nullptr;
    int incarnation = 0;
    bool has_been_used = false;
    bool has_ended_sending = false;
    /// Sent and not answered yet.
    std::deque<request_record> unanswered;
};

caller::caller(balancer& entry, const message_sizes& sizes, std::string zone,
    request_kind kind, caller_habit habit, std::uint64_t seed)
    : entry(entry)
    , sizes(sizes)
    , zone(std::move(zone))
    , kind(std::move(kind))
    , habit(habit)
    , random(seed)
{
}

std::string caller::make_request(const std::string& id, std::size_t body) const
{
    const auto deadline_ms
        = std::chrono::duration_cast<std::chrono::milliseconds>(
            this->kind.deadline);
    return this->kind.method + " " + this->kind.prefix + id
        + " HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: " + id
        + "\r\nRequest-Deadline: " + std::to_string(deadline_ms.count())
        + (this->kind.is_idempotent ? "\r\n\r\n" : this->frame_body(body));
}

std::string caller::frame_body(std::size_t size) const
{
    if (this->habit != caller_habit::chunked_body)
    {
        return "\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n"
            + std::string(size, 'x');
    }
    std::array<char, 20> digits{};
    std::snprintf(digits.data(), digits.size(), "%zx", size);
    return "\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(digits.data())
        + "\r\n" + std::string(size, 'x') + "\r\n0\r\n\r\n";
}

asio::awaitable<bool> caller::connect(connection& open)
{
    daemon_process& daemon = this->entry.choose(this->zone);
    open.daemon = &daemon;
    open.incarnation = daemon.get_incarnation();
    if (this->habit == caller_habit::slow_reading)
    {
        constexpr int small_buffer = 2048;
        open.socket.open(asio::ip::tcp::v4());
        open.socket.set_option(
            asio::socket_base::receive_buffer_size(small_buffer));
    }
    const auto [failure] = co_await open.socket.async_connect(
        { get_own_address(), daemon.get_entry_port() }, as_result);
    if (!failure)
    {
        boost::system::error_code ignored;
        open.socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        // A restart may have come between the choice and the connection.
        open.incarnation = daemon.get_incarnation();
    }
    co_return !failure;
}

asio::awaitable<bool> caller::send(connection& open)
{
    std::array<char, 20> id{};
    std::snprintf(id.data(), id.size(), "%016llx",
        static_cast<unsigned long long>(this->random()));
    const std::size_t body = draw_size(
        message_sizes::usual_request, this->sizes.request, this->random);
    const std::string text = this->make_request(id.data(), body);
    std::size_t first = text.size();
    const bool is_in_parts = this->habit == caller_habit::slow_body
        || this->habit == caller_habit::chunked_body;
    if (is_in_parts && !this->kind.is_idempotent)
    {
        first = text.size() - body / 2;
    }
    const seconds begun_at = now();
    const auto record = [&](seconds sent_at) {
        return request_record::make(id.data(), open.daemon->get_name(),
            open.incarnation, this->kind.is_idempotent, open.has_been_used,
            !open.unanswered.empty(), begun_at, sent_at, this->kind.deadline,
            this->kind.timeout);
    };
    auto [failure, count] = co_await asio::async_write(
        open.socket, asio::buffer(text.data(), first), as_result);
    if (!failure && first < text.size())
    {
        std::uniform_real_distribution<double> pause(0.05, 1.2);
        co_await sleep_for(seconds(pause(this->random)));
        std::tie(failure, count) = co_await asio::async_write(open.socket,
            asio::buffer(text.data() + first, text.size() - first), as_result);
    }
    if (failure)
    {
        this->records.push_back(
            record(now()).with_end(request_record::ending::closed, 0, false,
                "write: " + failure.message(), now()));
        co_return false;
    }
    open.unanswered.push_back(record(now()));
    open.daemon->add_sent_request();
    open.has_been_used = true;
    co_return true;
}

void caller::end_all(
    connection& open, request_record::ending how, const std::string& cause)
{
    const std::string detail = cause + ", caller "
        + std::string(to_string(this->habit))
        + (open.has_ended_sending ? ", sending side ended" : "");
    for (const request_record& each : open.unanswered)
    {
        this->records.push_back(each.with_end(how, 0, false, detail, now()));
        open.daemon->remove_request();
    }
    open.unanswered.clear();
}

asio::awaitable<boost::system::error_code> caller::read_answer(
    connection& open, answer_parser& parser)
{
    if (this->habit != caller_habit::slow_reading)
    {
        const auto [failure, count] = co_await http::async_read(
            open.socket, open.buffer, parser, as_result);
        co_return failure;
    }
    // The end of the connection is noticed at once.
    co_await open.socket.async_wait(
        asio::ip::tcp::socket::wait_read, as_result);
    if (!has_peer_closed(open.socket))
    {
        std::uniform_real_distribution<double> pause(0, 0.3);
        co_await sleep_for(seconds(pause(this->random)));
    }
    constexpr seconds pause_between_reads{ 0.003 };
    parser.eager(true);
    boost::system::error_code failure;
    while (!failure && !parser.is_done())
    {
        std::size_t count = 0;
        std::tie(failure, count) = co_await http::async_read_some(
            open.socket, open.buffer, parser, as_result);
        co_await sleep_for(pause_between_reads);
    }
    co_return failure;
}

asio::awaitable<void> caller::use_closed(connection& open)
{
    std::uniform_real_distribution<double> pause(0, 0.05);
    co_await sleep_for(seconds(pause(this->random)));
    const bool is_sent = co_await this->send(open);
    if (is_sent)
    {
        co_await this->read_answers(open);
    }
}

asio::awaitable<bool> caller::read_answers(connection& open)
{
    while (!open.unanswered.empty())
    {
        answer_parser parser;
        const seconds limit = open.unanswered.front().get_sent_at()
            + this->kind.deadline + patience;
        const auto read
            = co_await (this->read_answer(open, parser) || sleep_until(limit));
        if (read.index() != 0)
        {
            this->end_all(
                open, request_record::ending::given_up, "no answer in time");
            co_return false;
        }
        const auto failure = std::get<0>(read);
        if (failure)
        {
            this->end_all(open, request_record::ending::closed,
                "read: " + failure.message());
            co_return false;
        }
        const auto& answer = parser.get();
        if (open.has_ended_sending
            && http::to_status_class(answer.result())
                == http::status_class::informational)
        {
            continue;
        }
        constexpr std::size_t most_shown = 100;
        const request_record& sent = open.unanswered.front();
        const bool is_mixed = http::to_status_class(answer.result())
                == http::status_class::successful
            && !is_whole(answer, sent.get_id());
        this->records.push_back(
            sent.with_end(is_mixed ? request_record::ending::mixed
                                   : request_record::ending::answered,
                answer.result_int(), answer.count("Server-Signature") > 0,
                answer.body().substr(0, most_shown), now()));
        open.unanswered.pop_front();
        open.daemon->remove_request();
        if (!answer.keep_alive())
        {
            this->end_all(open, request_record::ending::closed,
                "an earlier answer closes the connection");
            if (this->habit == caller_habit::persistent)
            {
                co_await this->use_closed(open);
            }
            co_return false;
        }
    }
    co_return true;
}

void caller::end_sending(connection& open)
{
    constexpr double ending_part = 0.4;
    if (std::bernoulli_distribution(ending_part)(this->random))
    {
        boost::system::error_code ignored;
        open.socket.shutdown(asio::socket_base::shutdown_send, ignored);
        open.has_ended_sending = true;
    }
}

asio::awaitable<void> caller::use(connection& open, seconds end)
{
    std::exponential_distribution<double> pause(2.0);
    bool is_open = true;
    while (is_open && now() < end)
    {
        const auto burst = this->habit == caller_habit::pipelining
            ? 1 + this->random() % 3
            : 1;
        for (std::uint64_t i = 0; i < burst && is_open; ++i)
        {
            is_open = co_await this->send(open);
        }
        if (is_open && this->habit == caller_habit::half_closing)
        {
            this->end_sending(open);
        }
        is_open = co_await this->read_answers(open) && is_open
            && !open.has_ended_sending;
        if (is_open)
        {
            co_await sleep_for(seconds(pause(this->random)));
        }
    }
}

asio::awaitable<void> caller::run(seconds end)
{
    std::uniform_real_distribution<double> first_pause(0, 1);
    co_await sleep_for(seconds(first_pause(this->random)));
    while (now() < end)
    {
        connection open(co_await asio::this_coro::executor);
        const bool is_connected = co_await this->connect(open);
        if (is_connected)
        {
            co_await this->use(open, end);
        }
        co_await sleep_for(seconds(0.05));
    }
}

} // namespace pollenward::soak
