#include "agatedoor/wire/http_service.hpp"
#include "signal_wait.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

/// @brief Stand-in for a network path: a TCP relay with faults and byte counts.
/// PUT /relay {"mode":"pass"|"cut"|"silence"|"refuse"|"one-way"|"hold","direction":"to-target"|"from-target"|"none","delay_ms":int}.
/// cut closes the connections that are open now; silence makes them swallow all bytes for good; new ones work after both.
/// refuse closes new connections at once; one-way swallows bytes of all connections except in one direction; hold keeps these bytes
/// until the mode changes.
/// GET /relay tells mode, connections, the most that were open at once, and bytes each way.
namespace agatedoor {

namespace {

namespace json = boost::json;
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

enum class Direction {
    ToTarget,
    FromTarget,
};

/// One relayed connection.
struct Link
{
    tcp::socket near;
    tcp::socket far;
    bool silent = false;
};

auto into(error_code &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

tcp::endpoint toTcp(const std::string &text)
{
    const Endpoint endpoint = parseEndpoint(text).value();
    return {asio::ip::make_address(endpoint.address), endpoint.port};
}

bool isOpen(tcp::socket &socket)
{
    char byte = 0;
    return socket.is_open() && ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
}

void closeBoth(Link &link)
{
    error_code ignored;
    link.near.close(ignored);
    link.far.close(ignored);
}

class Relay
{
public:
    Relay(const std::string &listen, const std::string &target)
        : m_acceptor(m_context, toTcp(listen), true)
        , m_target(toTcp(target))
    {
        asio::co_spawn(m_context, acceptLoop(), asio::detached);
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~Relay()
    {
        m_context.stop();
        m_thread.join();
    }
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
    {
        asio::post(m_context, [this, request, responder] {
            if (request.method == "PUT") {
                set(request.body);
            }
            responder->reply(jsonReply(200, json::serialize(state())));
        });
    }

private:
    void set(const std::string &body)
    {
        const json::object object = json::parse(body).as_object();
        if (const auto *value = object.if_contains("delay_ms")) {
            m_delay = std::chrono::milliseconds(value->to_number<std::int64_t>());
        }
        if (const auto *value = object.if_contains("direction")) {
            m_direction = std::string(value->as_string());
        }
        if (const auto *value = object.if_contains("mode")) {
            m_mode = std::string(value->as_string());
            applyToOpen();
        }
    }

    void applyToOpen()
    {
        for (const auto &weak : m_links) {
            const auto link = weak.lock();
            if (link && m_mode == "cut") {
                closeBoth(*link);
            }
            if (link && m_mode == "silence") {
                link->silent = true;
            }
        }
    }

    json::object state()
    {
        std::erase_if(m_links, [](const auto &link) { return link.expired(); });
        return {
            {"mode", m_mode},          {"open", m_links.size()},      {"accepted", m_accepted},   {"most_open", m_mostOpen},
            {"to_target", m_toTarget}, {"from_target", m_fromTarget}, {"swallowed", m_swallowed},
        };
    }

    bool passes(const Link &link, Direction direction) const
    {
        if (link.silent) {
            return false;
        }
        if (m_mode != "one-way") {
            return true;
        }
        return isOpenDirection(direction);
    }

    /// Whether bytes go on in @p direction while those of the other one don't.
    bool isOpenDirection(Direction direction) const { return m_direction == (direction == Direction::ToTarget ? "to-target" : "from-target"); }

    /// Connections that are open now, without those whose close has arrived and wasn't read yet.
    std::size_t openLinks()
    {
        std::erase_if(m_links, [](const auto &link) { return link.expired(); });
        return static_cast<std::size_t>(std::count_if(m_links.begin(), m_links.end(), [](const auto &weak) {
            const auto link = weak.lock();
            return link && isOpen(link->near);
        }));
    }

    asio::awaitable<void> acceptLoop()
    {
        for (;;) {
            error_code error;
            const auto link = std::make_shared<Link>(Link{tcp::socket(m_context), tcp::socket(m_context)});
            co_await m_acceptor.async_accept(link->near, into(error));
            if (error || m_mode == "refuse") {
                continue;
            }
            ++m_accepted;
            m_mostOpen = std::max(m_mostOpen, openLinks() + 1);
            asio::co_spawn(m_context, connect(link), asio::detached);
        }
    }

    asio::awaitable<void> connect(std::shared_ptr<Link> link)
    {
        error_code error;
        m_links.push_back(link);
        co_await link->far.async_connect(m_target, into(error));
        if (error) {
            closeBoth(*link);
            co_return;
        }
        link->near.set_option(tcp::no_delay(true), error);
        link->far.set_option(tcp::no_delay(true), error);
        asio::co_spawn(m_context, pump(link, link->near, link->far, Direction::ToTarget), asio::detached);
        asio::co_spawn(m_context, pump(link, link->far, link->near, Direction::FromTarget), asio::detached);
    }

    asio::awaitable<void> pump(std::shared_ptr<Link> link, tcp::socket &from, tcp::socket &to, Direction direction)
    {
        error_code error;
        std::array<char, 16384> bytes{};
        while (!error) {
            const std::size_t size = co_await from.async_read_some(asio::buffer(bytes), into(error));
            if (!error) {
                co_await pass(*link, to, asio::buffer(bytes.data(), size), direction);
            }
        }
        co_await holdWhileSwallowing(*link, direction);
        closeBoth(*link);
    }

    asio::awaitable<void> pass(Link &link, tcp::socket &to, asio::const_buffer bytes, Direction direction)
    {
        error_code error;
        if (m_delay.count() > 0) {
            asio::steady_timer timer(m_context, m_delay);
            co_await timer.async_wait(into(error));
        }
        co_await waitWhileHeld(direction);
        if (!passes(link, direction)) {
            m_swallowed += bytes.size();
            co_return;
        }
        (direction == Direction::ToTarget ? m_toTarget : m_fromTarget) += bytes.size();
        co_await asio::async_write(to, bytes, into(error));
    }

    asio::awaitable<void> waitWhileHeld(Direction direction)
    {
        while (m_mode == "hold" && !isOpenDirection(direction)) {
            co_await pause();
        }
    }

    /// A path that swallows bytes doesn't tell of a close either.
    asio::awaitable<void> holdWhileSwallowing(const Link &link, Direction direction)
    {
        while (!passes(link, direction) && link.near.is_open()) {
            co_await pause();
        }
    }

    /// Between two looks at the mode.
    asio::awaitable<void> pause()
    {
        constexpr std::chrono::milliseconds pollInterval{50};
        error_code error;
        asio::steady_timer timer(m_context, pollInterval);
        co_await timer.async_wait(into(error));
    }

    asio::io_context m_context{1};
    tcp::acceptor m_acceptor;
    tcp::endpoint m_target;
    std::string m_mode = "pass";
    std::string m_direction = "none";
    std::chrono::milliseconds m_delay{0};
    std::vector<std::weak_ptr<Link>> m_links;
    std::uint64_t m_accepted = 0;
    std::size_t m_mostOpen = 0; ///< Most connections that were open at once.
    std::uint64_t m_toTarget = 0;
    std::uint64_t m_fromTarget = 0;
    std::uint64_t m_swallowed = 0;
    std::thread m_thread;
};

} // namespace

} // namespace agatedoor

int main(int argc, char **argv)
{
    using namespace agatedoor;
    CLI::App app{"stand-in for a network path", "stand_in_relay"};
    std::string listen;
    std::string target;
    std::string control;
    app.add_option("--listen", listen, "IP:PORT that is relayed")->required();
    app.add_option("--target", target, "IP:PORT where bytes go")->required();
    app.add_option("--control", control, "IP:PORT of the control interface")->required();
    CLI11_PARSE(app, argc, argv);
    blockStopSignals();
    Relay relay(listen, target);
    const auto service
        = HttpService::start(parseEndpoint(control).value(),
                             [&relay](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) { relay.handle(request, responder); });
    if (!service) {
        std::cerr << "can't listen\n";
        return 1;
    }
    waitForStopSignal();
    return 0;
}
