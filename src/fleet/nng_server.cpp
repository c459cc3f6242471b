#include "fleet/nng_server.hpp"

#include "fleet/nng_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nng/protocol/reqrep0/rep.h>

#include <string>
#include <utility>

namespace pollenward::fleet {

namespace asio = boost::asio;

/// One nng context: receives a request, calls the handler, sends the reply, and
/// receives again.
class nng_server::server_context
    : public std::enable_shared_from_this<server_context> {
public:
    server_context(asio::any_io_executor executor,
        std::shared_ptr<const bytes_handler> handler)
        : executor(std::move(executor))
        , handler(std::move(handler))
    {
    }

    ~server_context() { nng_aio_free(this->aio); }
    server_context(const server_context&) = delete;
    server_context& operator=(const server_context&) = delete;

    bool open(nng_socket socket)
    {
        return nng_aio_alloc(&this->aio, &on_event, this) == 0
            && nng_ctx_open(&this->context, socket) == 0;
    }

    void receive()
    {
        const std::lock_guard lock(this->mutex);
        if (!this->closed)
        {
            this->sending = false;
            nng_ctx_recv(this->context, this->aio);
        }
    }

    void send(const encoded_message& reply)
    {
        const std::lock_guard lock(this->mutex);
        nng_msg* outgoing = this->closed ? nullptr : make_nng_message(reply);
        if (outgoing != nullptr)
        {
            this->sending = true;
            nng_aio_set_msg(this->aio, outgoing);
            nng_ctx_send(this->context, this->aio);
        }
    }

    /// Ends the operation in progress and waits for its callback. nng 1.5.2
    /// aborts the process if a context is closed while its socket closes, so
    /// this comes before the socket is closed.
    void close()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->closed = true;
        }
        nng_aio_stop(this->aio);
        nng_ctx_close(this->context);
    }

private:
    static void on_event(void* argument)
    {
        static_cast<server_context*>(argument)->advance();
    }

    void advance()
    {
        const int failure = nng_aio_result(this->aio);
        const bool was_sending = this->is_sending();
        if (failure != 0 && was_sending)
        {
            nng_msg_free(nng_aio_get_msg(this->aio));
        }
        if (failure == NNG_ECLOSED || failure == NNG_ECANCELED)
        {
            return;
        }
        if (failure != 0 || was_sending)
        {
            this->receive();
            return;
        }
        asio::co_spawn(this->executor,
            handle_request(this->shared_from_this(),
                take_nng_message(nng_aio_get_msg(this->aio))),
            asio::detached);
    }

    bool is_sending()
    {
        const std::lock_guard lock(this->mutex);
        return this->sending;
    }

    static asio::awaitable<void> handle_request(
        std::shared_ptr<server_context> self, encoded_message request)
    {
        const auto handle = self->handler;
        self->send(co_await (*handle)(std::move(request)));
    }

    asio::any_io_executor executor;
    std::shared_ptr<const bytes_handler> handler;
    nng_ctx context = NNG_CTX_INITIALIZER;
    nng_aio* aio = nullptr;
    std::mutex mutex;
    bool sending = false;
    bool closed = false;
};

nng_server::nng_server(asio::any_io_executor executor)
    : executor(std::move(executor))
{
}

nng_server::~nng_server()
{
    this->close();
}

bool nng_server::listen(const core::endpoint& address, core::error& reason)
{
    const std::string url = "tcp://" + address.str();
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    int failure = nng_rep0_open(&this->socket);
    if (failure == 0)
    {
        nng_socket_set_size(this->socket, NNG_OPT_RECVMAXSZ, max_message_size);
        failure = nng_listen(this->socket, url.c_str(), &listener, 0);
    }
    int port = address.get_port();
    if (failure == 0 && port == 0)
    {
        failure = nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
    }
    if (failure != 0)
    {
        reason = core::error::make(
            "listen for daemons", address.str(), nng_strerror(failure));
        return false;
    }
    const std::string text = address.str();
    const auto bound = core::endpoint::create(
        text.substr(0, text.rfind(':') + 1) + std::to_string(port), reason);
    this->address = bound.value_or(address);
    return true;
}

void nng_server::serve(bytes_handler handler)
{
    const auto shared
        = std::make_shared<const bytes_handler>(std::move(handler));
    const std::lock_guard lock(this->mutex);
    for (std::size_t i = 0; i < server_context_count; ++i)
    {
        auto opened = std::make_shared<server_context>(this->executor, shared);
        if (opened->open(this->socket))
        {
            opened->receive();
            this->contexts.push_back(std::move(opened));
        }
    }
}

void nng_server::close()
{
    std::vector<std::shared_ptr<server_context>> closing;
    {
        const std::lock_guard lock(this->mutex);
        closing.swap(this->contexts);
    }
    for (const auto& each : closing)
    {
        each->close();
    }
    if (nng_socket_id(this->socket) > 0)
    {
        nng_close(this->socket);
        this->socket = NNG_SOCKET_INITIALIZER;
    }
}

} // namespace pollenward::fleet
