#include "agatedoor/wire/http_service.hpp"

#include "agatedoor/wire/log.hpp"

#include "peer_watch.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <deque>
#include <optional>
#include <thread>

namespace agatedoor {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint64_t maxRequestBytes = 4ULL * 1024 * 1024;
constexpr std::size_t maxUnparsedBytes = 64UL * 1024; ///< Held without a line end or an end of the header.
constexpr std::uint32_t maxHeaderBytes = 16 * 1024;
constexpr std::chrono::seconds idleTimeout{60};
constexpr std::chrono::milliseconds acceptPause{50};

/// What a handler wants to be written next.
struct Outgoing
{
    std::optional<HttpReply> whole;
    std::string part;
    bool close = false;
};

/// Queue between handlers on any thread and the connection's coroutine.
class QueueResponder : public HttpResponder, public std::enable_shared_from_this<QueueResponder>
{
public:
    explicit QueueResponder(asio::io_context &context)
        : m_context(context)
        , m_wake(context)
    {
        m_wake.expires_at(asio::steady_timer::time_point::max());
    }

    void reply(HttpReply reply) override { push(Outgoing{std::move(reply), {}, false}); }
    void part(std::string part) override { push(Outgoing{std::nullopt, std::move(part), false}); }
    void close() override { push(Outgoing{std::nullopt, {}, true}); }
    bool closed() const override { return m_closed.load(); }

    void markClosed() { m_closed.store(true); }

    asio::awaitable<Outgoing> next()
    {
        while (m_queue.empty()) {
            error_code error;
            co_await m_wake.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
        Outgoing outgoing = std::move(m_queue.front());
        m_queue.pop_front();
        co_return outgoing;
    }

private:
    void push(Outgoing outgoing)
    {
        asio::post(m_context, [self = shared_from_this(), outgoing = std::move(outgoing)]() mutable {
            self->m_queue.push_back(std::move(outgoing));
            self->m_wake.cancel();
        });
    }

    asio::io_context &m_context;
    asio::steady_timer m_wake;
    std::deque<Outgoing> m_queue;
    std::atomic<bool> m_closed{false};
};

HttpRequest fromBeast(http::request<http::string_body> message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(message.body());
    return request;
}

http::response<http::string_body> toBeast(const HttpReply &reply, bool keepAlive)
{
    http::response<http::string_body> message;
    message.result(static_cast<unsigned>(reply.status));
    for (const auto &field : reply.fields) {
        message.set(field.name, field.value);
    }
    message.keep_alive(keepAlive);
    message.body() = reply.body;
    message.prepare_payload();
    return message;
}

asio::awaitable<bool> writeWhole(beast::tcp_stream &stream, const HttpReply &reply, bool keepAlive)
{
    error_code error;
    const auto message = toBeast(reply, keepAlive);
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    co_return !error && keepAlive;
}

asio::awaitable<bool> writeStreamHead(beast::tcp_stream &stream)
{
    error_code error;
    http::response<http::empty_body> head;
    head.set(http::field::content_type, "application/json");
    head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    co_await http::async_write_header(stream, serializer, asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

asio::awaitable<bool> writePart(beast::tcp_stream &stream, const std::string &part)
{
    error_code error;
    const auto chunk = http::make_chunk(asio::buffer(part));
    co_await asio::async_write(stream, chunk, asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

/// Writes what the handler produces; true when the connection can serve another request.
asio::awaitable<bool> writeAnswer(beast::tcp_stream &stream, QueueResponder &responder, bool keepAlive)
{
    bool streaming = false;
    for (;;) {
        const Outgoing outgoing = co_await responder.next();
        if (outgoing.close) {
            co_return false;
        }
        if (outgoing.whole) {
            co_return co_await writeWhole(stream, *outgoing.whole, keepAlive);
        }
        stream.expires_after(idleTimeout);
        if (!streaming && !co_await writeStreamHead(stream)) {
            co_return false;
        }
        streaming = true;
        if (!co_await writePart(stream, outgoing.part)) {
            co_return false;
        }
        stream.expires_never();
    }
}

class Server : public HttpService
{
public:
    Server(const tcp::endpoint &endpoint, HttpHandler handler)
        : m_acceptor(m_context, endpoint, true)
        , m_handler(std::move(handler))
    {
        asio::co_spawn(m_context, accept(), asio::detached);
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~Server() override
    {
        m_context.stop();
        m_thread.join();
    }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            error_code error;
            tcp::socket socket(m_context);
            co_await m_acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
            if (!error) {
                asio::co_spawn(m_context, serve(beast::tcp_stream(std::move(socket))), logFailures("service-connection-failed"));
                continue;
            }
            asio::steady_timer pause(m_context, acceptPause);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
    }

    asio::awaitable<void> serve(beast::tcp_stream stream)
    {
        beast::flat_buffer buffer(maxUnparsedBytes);
        bool open = true;
        while (open) {
            open = co_await serveOne(stream, buffer);
        }
        error_code ignored;
        stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

    asio::awaitable<bool> serveOne(beast::tcp_stream &stream, beast::flat_buffer &buffer)
    {
        error_code error;
        http::request_parser<http::string_body> parser;
        parser.body_limit(maxRequestBytes);
        parser.header_limit(maxHeaderBytes);
        stream.expires_after(idleTimeout);
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::end_of_stream || error == beast::error::timeout) {
            co_return false;
        }
        if (error) {
            co_await writeWhole(stream, jsonReply(400, R"({"error":"malformed-request"})"), false);
            co_return false;
        }
        stream.expires_never();
        const bool keepAlive = parser.get().keep_alive();
        const auto responder = std::make_shared<QueueResponder>(m_context);
        PeerWatch watch(stream.socket(), [responder] { responder->markClosed(); });
        watch.start();
        m_handler(fromBeast(parser.release()), responder);
        const bool reusable = co_await writeAnswer(stream, *responder, keepAlive);
        if (!reusable) {
            responder->markClosed();
        }
        co_return reusable;
    }

    asio::io_context m_context{1};
    tcp::acceptor m_acceptor;
    HttpHandler m_handler;
    std::thread m_thread;
};

} // namespace

Result<std::unique_ptr<HttpService>, ListenError> HttpService::start(const Endpoint &endpoint, HttpHandler handler)
{
    error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error) {
        return ListenError{endpoint};
    }
    try {
        return std::unique_ptr<HttpService>(std::make_unique<Server>(tcp::endpoint(address, endpoint.port), std::move(handler)));
    } catch (const boost::system::system_error &) {
        return ListenError{endpoint};
    }
}

} // namespace agatedoor
