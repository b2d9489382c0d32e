#include "listener.hpp"

#include "agatedoor/wire/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace agatedoor {

namespace {

constexpr std::chrono::milliseconds acceptRetryDelay{20};

} // namespace

ConnectionTarget servedOn(asio::io_context &loop, std::function<asio::awaitable<void>(tcp::socket)> serve)
{
    auto start = [&loop, serve = std::move(serve)](tcp::socket socket) { asio::co_spawn(loop, serve(std::move(socket)), logFailures("connection-failed")); };
    return {&loop, std::move(start)};
}

std::optional<tcp::acceptor> listen(asio::io_context &context, const Endpoint &endpoint)
{
    error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    try {
        return tcp::acceptor(context, tcp::endpoint(address, endpoint.port), true);
    } catch (const boost::system::system_error &) {
        return std::nullopt;
    }
}

asio::awaitable<void> acceptLoop(Listener &listener)
{
    while (listener.acceptor.is_open()) {
        error_code error;
        const ConnectionTarget target = listener.nextTarget();
        tcp::socket socket(*target.loop);
        co_await listener.acceptor.async_accept(socket, into(error));
        if (!error) {
            target.serve(std::move(socket));
            continue;
        }
        asio::steady_timer pause(co_await asio::this_coro::executor, acceptRetryDelay);
        co_await pause.async_wait(into(error));
    }
}

void closeListener(Listener &listener)
{
    error_code error;
    listener.acceptor.non_blocking(true, error);
    for (int accepted = 0; !error && accepted < asio::socket_base::max_listen_connections; ++accepted) {
        const ConnectionTarget target = listener.nextTarget();
        tcp::socket socket(*target.loop);
        listener.acceptor.accept(socket, error);
        if (!error) {
            target.serve(std::move(socket));
        }
    }
    if (error && error != asio::error::would_block) {
        logLine(LogLevel::Warn, "listen-queue-not-emptied", {{"error", error.message()}});
    }
    listener.acceptor.close(error);
}

} // namespace agatedoor
