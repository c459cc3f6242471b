#include "fleet/nng_client.hpp"

#include <nng/protocol/reqrep0/req.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace pollenward::fleet {

namespace {

    constexpr nng_duration reconnect_min_ms = 100;
    constexpr nng_duration reconnect_max_ms = 1000;

    /// One request and its reply on an nng context of its own. Owned by the
    /// chain of nng callbacks, and by the tracker after the last one.
    class nng_exchange {
    public:
        nng_exchange(std::shared_ptr<nng_peer_socket> peer,
            core::milliseconds timeout,
            std::shared_ptr<exchange_tracker> tracker, nng_completion done)
            : peer(std::move(peer))
            , tracker(std::move(tracker))
            , done(std::move(done))
            , expiry(std::chrono::steady_clock::now() + timeout)
        {
        }

        ~nng_exchange()
        {
            if (this->aio != nullptr)
            {
                // Waits for the callback, and for nng's thread of timeouts:
                // it may still refer to the context, although the reply has
                // come.
                nng_aio_free(this->aio);
            }
            if (nng_ctx_id(this->context) > 0)
            {
                nng_ctx_close(this->context);
            }
        }

        nng_exchange(const nng_exchange&) = delete;
        nng_exchange& operator=(const nng_exchange&) = delete;

        void start(const encoded_message& request)
        {
            // The exchange may end while nng_ctx_send still uses the context,
            // whose socket must not close by then.
            const auto held = this->peer;
            int failure = nng_aio_alloc(&this->aio, &on_event, this);
            if (failure == 0)
            {
                failure
                    = nng_ctx_open(&this->context, this->peer->get_socket());
            }
            nng_msg* outgoing
                = failure == 0 ? make_nng_message(request) : nullptr;
            if (outgoing == nullptr)
            {
                this->end(failure == 0 ? NNG_ENOMEM : failure, {});
                return;
            }
            nng_aio_set_msg(this->aio, outgoing);
            this->set_timeout();
            nng_ctx_send(this->context, this->aio);
        }

    private:
        static void on_event(void* argument)
        {
            static_cast<nng_exchange*>(argument)->advance();
        }

        void advance()
        {
            const int failure = nng_aio_result(this->aio);
            if (failure != 0)
            {
                if (!this->sent)
                {
                    nng_msg_free(nng_aio_get_msg(this->aio));
                }
                this->end(failure, {});
                return;
            }
            if (!this->sent)
            {
                this->sent = true;
                this->set_timeout();
                nng_ctx_recv(this->context, this->aio);
                return;
            }
            this->end(0, take_nng_message(nng_aio_get_msg(this->aio)));
        }

        /// Sets the rest of the exchange's timeout: nng counts from the start
        /// of each operation, and both operations share one timeout.
        void set_timeout()
        {
            const auto left
                = std::chrono::duration_cast<std::chrono::milliseconds>(
                    this->expiry - std::chrono::steady_clock::now());
            nng_aio_set_timeout(this->aio,
                static_cast<nng_duration>(
                    std::max<std::int64_t>(left.count(), 1)));
        }

        /// Lets the tracker release context and peer before it reports the
        /// result: after that the caller may close the peer, and nng 1.5.2
        /// blocks or aborts if a context closes at the same time as its socket.
        void end(int failure, encoded_message reply)
        {
            auto release = [this, done = std::move(this->done), failure,
                               received = std::move(reply)]() mutable {
                delete this;
                done(failure, std::move(received));
            };
            this->tracker->end(std::move(release));
        }

        std::shared_ptr<nng_peer_socket> peer;
        std::shared_ptr<exchange_tracker> tracker;
        nng_completion done;
        std::chrono::steady_clock::time_point expiry;
        nng_aio* aio = nullptr;
        nng_ctx context = NNG_CTX_INITIALIZER;
        bool sent = false;
    };

} // namespace

nng_msg* make_nng_message(const encoded_message& bytes)
{
    nng_msg* made = nullptr;
    if (nng_msg_alloc(&made, 0) != 0)
    {
        return nullptr;
    }
    if (nng_msg_append(made, bytes.data(), bytes.size()) != 0)
    {
        nng_msg_free(made);
        return nullptr;
    }
    return made;
}

encoded_message take_nng_message(nng_msg* received)
{
    const auto* body = static_cast<const std::uint8_t*>(nng_msg_body(received));
    encoded_message bytes(body, body + nng_msg_len(received));
    nng_msg_free(received);
    return bytes;
}

bool exchange_tracker::try_begin()
{
    const std::lock_guard lock(this->mutex);
    this->count += this->closed ? 0 : 1;
    return !this->closed;
}

void exchange_tracker::end(std::function<void()> release)
{
    const std::lock_guard lock(this->mutex);
    this->ended.push_back(std::move(release));
    this->changed.notify_all();
}

void exchange_tracker::release_until(const std::stop_token& stop)
{
    std::unique_lock lock(this->mutex);
    while (
        this->changed.wait(lock, stop, [this] { return !this->ended.empty(); }))
    {
        auto release = std::move(this->ended.front());
        this->ended.pop_front();
        lock.unlock();
        release();
        release = nullptr;
        lock.lock();
        if (--this->count == 0)
        {
            this->none_in_flight.notify_all();
        }
    }
}

void exchange_tracker::close()
{
    std::unique_lock lock(this->mutex);
    this->closed = true;
    this->none_in_flight.wait(lock, [this] { return this->count == 0; });
}

nng_peer_socket::nng_peer_socket(const core::endpoint& address)
    : last_used(core::runtime_clock::now())
{
    if (nng_req0_open(&this->socket) != 0)
    {
        return;
    }
    // The senders of claims and reports decide whether to retry.
    nng_socket_set_ms(
        this->socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
    nng_socket_set_ms(this->socket, NNG_OPT_RECONNMINT, reconnect_min_ms);
    nng_socket_set_ms(this->socket, NNG_OPT_RECONNMAXT, reconnect_max_ms);
    nng_socket_set_size(this->socket, NNG_OPT_RECVMAXSZ, max_message_size);
    const std::string url = "tcp://" + address.str();
    nng_dial(this->socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
}

nng_peer_socket::~nng_peer_socket()
{
    if (nng_socket_id(this->socket) > 0)
    {
        nng_close(this->socket);
    }
}

void start_nng_exchange(std::shared_ptr<nng_peer_socket> peer,
    const encoded_message& request, core::milliseconds timeout,
    std::shared_ptr<exchange_tracker> tracker, nng_completion done)
{
    auto* started = new nng_exchange(
        std::move(peer), timeout, std::move(tracker), std::move(done));
    started->start(request);
}

} // namespace pollenward::fleet
