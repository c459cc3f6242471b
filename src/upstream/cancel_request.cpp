#include "upstream/cancel_request.hpp"

#include "core/runtime_clock.hpp"
#include "upstream/worker_call.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include <cctype>
#include <string>

namespace pollenward::upstream {

namespace asio = boost::asio;

namespace {

    constexpr core::seconds cancel_timeout{ 1 };

    /// Ids may contain any visible character; most must be escaped in a request
    /// target.
    std::string escape(const std::string& text)
    {
        constexpr auto digits = "0123456789ABCDEF";
        std::string escaped;
        for (const char each : text)
        {
            const auto byte = static_cast<unsigned char>(each);
            if (std::isalnum(byte) != 0 || each == '-' || each == '.'
                || each == '_' || each == '~')
            {
                escaped += each;
                continue;
            }
            escaped += '%';
            escaped += digits[byte >> 4U];
            escaped += digits[byte & 15U];
        }
        return escaped;
    }

    asio::awaitable<void> cancel(core::endpoint remote, core::request_id id)
    {
        co_await call_worker(remote, "POST", "/cancel/" + escape(id.str()),
            core::runtime_clock::now() + cancel_timeout);
    }

} // namespace

void spawn_cancel(const asio::any_io_executor& executor,
    const core::endpoint& remote, const core::request_id& id)
{
    asio::co_spawn(
        asio::make_strand(executor), cancel(remote, id), asio::detached);
}

} // namespace pollenward::upstream
