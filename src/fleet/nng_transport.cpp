#include "fleet/nng_transport.hpp"

#include "fleet/nng_client.hpp"
#include "fleet/nng_server.hpp"

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/execution/outstanding_work.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/prefer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::fleet {

namespace asio = boost::asio;

namespace {

    constexpr core::seconds idle_check_interval{ 10 };

    /// Result of an exchange: nng's error number and the encoded reply.
    struct wire_result {
        int failure = 0;
        encoded_message reply;
    };

    /// Posts the result from the tracker's thread to the executor of the
    /// waiting coroutine, and keeps the executor's context running until then.
    template <class Handler>
    nng_completion complete_on_executor(Handler handler)
    {
        auto shared = std::make_shared<Handler>(std::move(handler));
        auto executor = asio::prefer(asio::get_associated_executor(*shared),
            asio::execution::outstanding_work.tracked);
        return [shared = std::move(shared), executor = std::move(executor)](
                   int failure, encoded_message reply) mutable {
            asio::post(executor,
                [shared = std::move(shared),
                    result
                    = wire_result{ failure, std::move(reply) }]() mutable {
                    std::move (*shared)(std::move(result));
                });
        };
    }

    /// `on_result` is called on the tracker's thread while the exchange still
    /// counts as in flight, so that the transport exists.
    asio::awaitable<wire_result> exchange_bytes(
        std::shared_ptr<nng_peer_socket> peer, encoded_message request,
        core::milliseconds timeout, std::shared_ptr<exchange_tracker> tracker,
        std::function<void(int)> on_result)
    {
        const auto initiate = [&](auto handler) {
            start_nng_exchange(peer, request, timeout, tracker,
                [on_result, done = complete_on_executor(std::move(handler))](
                    int failure, encoded_message reply) mutable {
                    on_result(failure);
                    // It refers to the peer's socket, which the caller may
                    // close when it has the result.
                    on_result = nullptr;
                    done(failure, std::move(reply));
                });
        };
        co_return co_await asio::async_initiate<const asio::use_awaitable_t<>,
            void(wire_result)>(initiate, asio::use_awaitable);
    }

} // namespace

nng_transport::nng_transport(
    const asio::any_io_executor& executor, core::milliseconds timeout)
    : timeout(timeout)
    , traffic(std::make_shared<counters>())
    , tracker(std::make_shared<exchange_tracker>())
    , server(std::make_unique<nng_server>(executor))
    , idle_thread(
          [this](const std::stop_token& stop) { this->close_idle_until(stop); })
{
}

nng_transport::~nng_transport()
{
    this->close();
}

bool nng_transport::listen(const core::endpoint& address, core::error& reason)
{
    return this->server->listen(address, reason);
}

const core::endpoint& nng_transport::get_address() const
{
    return this->server->get_address();
}

void nng_transport::serve(message_handler handler)
{
    auto shared = std::make_shared<const message_handler>(std::move(handler));
    this->server->serve(
        [shared, traffic = this->traffic](encoded_message request) {
            return answer(shared, traffic, std::move(request));
        });
}

asio::awaitable<encoded_message> nng_transport::answer(
    std::shared_ptr<const message_handler> handler,
    std::shared_ptr<counters> traffic, encoded_message request)
{
    core::error reason;
    message reply;
    auto received = decode_message(request, "daemon", reason);
    if (received)
    {
        traffic->received.add(received->index(), request.size());
        try
        {
            reply = co_await (*handler)(std::move(*received));
        }
        catch (const std::exception& thrown)
        {
            reply = receipt::failed(thrown.what());
        }
    }
    else
    {
        ++traffic->invalid;
        reply = receipt::failed(reason.describe());
    }
    encoded_message bytes = encode_message(reply);
    if (bytes.size() > max_message_size)
    {
        reply = receipt::failed("the reply is too large");
        bytes = encode_message(reply);
    }
    traffic->sent.add(reply.index(), bytes.size());
    co_return bytes;
}

asio::awaitable<std::optional<message>> nng_transport::exchange(
    core::endpoint peer, message content, core::error& reason)
{
    const std::string step
        = "exchange " + std::string(message_type_names[content.index()]);
    encoded_message request = encode_message(content);
    const auto failed = [&](const char* cause) {
        reason = core::error::make(step, peer.str(), cause);
        return std::nullopt;
    };
    if (request.size() > max_message_size)
    {
        co_return failed("the message is too large");
    }
    if (!this->tracker->try_begin())
    {
        co_return failed("the transport is closed");
    }
    const auto traffic = this->traffic;
    traffic->sent.add(content.index(), request.size());
    const auto peer_socket = this->peer_of(peer);
    const auto on_result
        = [this, peer, peer_socket, before = peer_socket->count_replies()](
              int failure) {
              if (failure == 0)
              {
                  peer_socket->record_reply();
              }
              else if (failure == NNG_ETIMEDOUT
                  && peer_socket->count_replies() == before)
              {
                  this->retire(peer, peer_socket);
              }
          };
    const auto result = co_await exchange_bytes(peer_socket, std::move(request),
        this->timeout, this->tracker, on_result);
    if (result.failure != 0)
    {
        reason
            = core::error::make(step, peer.str(), nng_strerror(result.failure));
        co_return std::nullopt;
    }
    auto reply = decode_message(result.reply, peer.str(), reason);
    if (!reply)
    {
        ++traffic->invalid;
        co_return std::nullopt;
    }
    traffic->received.add(reply->index(), result.reply.size());
    co_return reply;
}

std::shared_ptr<nng_peer_socket> nng_transport::peer_of(
    const core::endpoint& address)
{
    auto found = this->peers.find(address);
    if (!found)
    {
        const auto made = std::make_shared<nng_peer_socket>(address);
        found = this->peers.update(address,
            [&](const auto& present) { return present.value_or(made); });
    }
    (*found)->touch(core::runtime_clock::now());
    return *found;
}

void nng_transport::retire(
    const core::endpoint& address, std::shared_ptr<nng_peer_socket> peer)
{
    this->peers.update(address, [&](const auto& present) {
        return present == peer ? std::nullopt : present;
    });
    const std::lock_guard lock(this->idle_mutex);
    this->retired.push_back(std::move(peer));
    this->has_new_retired = true;
    this->idle_wait.notify_one();
}

void nng_transport::close_retired(std::unique_lock<std::mutex>& lock)
{
    std::vector<std::shared_ptr<nng_peer_socket>> closing;
    std::erase_if(this->retired, [&](auto& peer) {
        // Only exchanges in flight have other references; none is added.
        const bool is_unused = peer.use_count() == 1;
        if (is_unused)
        {
            closing.push_back(std::move(peer));
        }
        return is_unused;
    });
    this->has_new_retired = false;
    lock.unlock();
    closing.clear();
    lock.lock();
}

std::size_t nng_transport::close_idle(core::time_point now)
{
    std::vector<std::shared_ptr<nng_peer_socket>> closing;
    this->peers.erase_if([&](const auto&, const auto& peer) {
        const bool is_idle = now - peer->get_last_used() >= idle_peer_time;
        if (is_idle)
        {
            closing.push_back(peer);
        }
        return is_idle;
    });
    return closing.size();
}

void nng_transport::close_idle_until(const std::stop_token& stop)
{
    std::unique_lock lock(this->idle_mutex);
    while (!stop.stop_requested())
    {
        this->idle_wait.wait_for(lock, stop, idle_check_interval,
            [this] { return this->has_new_retired; });
        this->close_retired(lock);
        lock.unlock();
        this->close_idle(core::runtime_clock::now());
        lock.lock();
    }
}

void nng_transport::close()
{
    if (this->idle_thread.joinable())
    {
        this->idle_thread.request_stop();
        this->idle_thread.join();
    }
    this->tracker->close();
    this->server->close();
    this->retired.clear();
    this->peers.erase_if([](const auto&, const auto&) { return true; });
}

} // namespace pollenward::fleet
