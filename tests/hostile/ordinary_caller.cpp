#include "hostile/ordinary_caller.hpp"

#include "hostile/http_exchange.hpp"
#include "soak/soak_time.hpp"

#include <boost/beast/http/status.hpp>

#include <string>
#include <utility>

namespace pollenward::hostile {

namespace http = boost::beast::http;

namespace {

    /// Ends a test whose daemon does not answer any more.
    constexpr soak::seconds longest_wait{ 20 };

    soak::http_request make_request(std::size_t body_size)
    {
        static int last_request = 0;
        soak::http_request made(http::verb::post, "/quick/", 11);
        made.set(http::field::host, "ordinary.example");
        made.set("Request-Id", "ordinary-" + std::to_string(++last_request));
        made.set("Request-Deadline", "10000");
        made.body().assign(body_size, 'x');
        made.prepare_payload();
        return made;
    }

    bool is_refusal(const soak::http_response& answer)
    {
        return answer.result() == http::status::service_unavailable
            || answer.result() == http::status::too_many_requests;
    }

    soak::seconds get_retry_after(const soak::http_response& answer)
    {
        constexpr soak::seconds usual{ 1 };
        return answer.count(http::field::retry_after) == 0
            ? usual
            : soak::seconds(
                std::stod(std::string(answer[http::field::retry_after])));
    }

} // namespace

ordinary_caller ordinary_caller::make(
    boost::asio::ip::tcp::endpoint daemon, std::size_t body_size)
{
    ordinary_caller made;
    made.daemon = std::move(daemon);
    made.body_size = body_size;
    return made;
}

ordinary_caller ordinary_caller::with_most_tries(int count) const
{
    ordinary_caller made = *this;
    made.most_tries = count;
    return made;
}

boost::asio::awaitable<ordinary_outcome> ordinary_caller::call() const
{
    for (int tries = 1;; ++tries)
    {
        const auto answer = co_await exchange(
            this->daemon, make_request(this->body_size), longest_wait);
        if (!answer)
        {
            // It may have run, so that it must not be sent again.
            co_return ordinary_outcome::make(tries, 0, false, "no answer");
        }
        if (!is_refusal(*answer) || tries == this->most_tries)
        {
            co_return ordinary_outcome::make(tries, answer->result_int(),
                answer->count("Server-Signature") > 0, answer->body());
        }
        co_await soak::sleep_for(get_retry_after(*answer));
    }
}

} // namespace pollenward::hostile
