#include "listener.hpp"

#include "support/story.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <optional>
#include <stdexcept>
#include <thread>
#include <vector>

namespace agatedoor {

namespace {

using test::section;

constexpr int waitingCallers = 3;

/// A listener on the loopback interface that keeps the connections it is handed.
struct KeptConnections
{
    asio::io_context context;
    std::vector<tcp::socket> kept;
    Listener listener{tcp::acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)), [this] { return target(); }};

    ConnectionTarget target()
    {
        return {&context, [this](tcp::socket socket) { kept.push_back(std::move(socket)); }};
    }
    tcp::endpoint address() const { return listener.acceptor.local_endpoint(); }
};

/// Opens a connection and sends one byte over it, whether it is accepted or waits in the queue.
tcp::socket callerWithByte(asio::io_context &context, const tcp::endpoint &address)
{
    tcp::socket caller(context);
    caller.connect(address);
    asio::write(caller, asio::buffer("x", 1));
    return caller;
}

/// Answers each byte, but fails with an exception at a byte that it doesn't expect.
asio::awaitable<void> answerOrThrow(tcp::socket socket)
{
    char byte = 0;
    co_await asio::async_read(socket, asio::buffer(&byte, 1), asio::use_awaitable);
    if (byte != 'x') {
        throw std::runtime_error("unexpected byte");
    }
    co_await asio::async_write(socket, asio::buffer("y", 1), asio::use_awaitable);
}

/// What comes back over a new connection on which @p byte was sent; none when it was closed without an answer.
std::optional<char> answerTo(asio::io_context &served, const tcp::endpoint &address, char byte)
{
    asio::io_context context;
    tcp::socket caller(context);
    caller.connect(address);
    asio::write(caller, asio::buffer(&byte, 1));
    std::optional<char> answer;
    std::thread reader([&] {
        error_code error;
        char read = 0;
        asio::read(caller, asio::buffer(&read, 1), error);
        answer = error ? std::nullopt : std::optional(read);
        served.stop();
    });
    served.restart();
    served.run();
    reader.join();
    return answer;
}

} // namespace

TEST(Listener, AnErrorEndsOneConnectionOnly)
{
    asio::io_context context;
    Listener listener{tcp::acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)), [&context] { return servedOn(context, answerOrThrow); }};
    asio::co_spawn(context, acceptLoop(listener), asio::detached);
    const tcp::endpoint address = listener.acceptor.local_endpoint();
    section("a connection is served", [&] { EXPECT_EQ(answerTo(context, address, 'x'), 'y'); });
    section("one that throws is closed", [&] { EXPECT_EQ(answerTo(context, address, '?'), std::nullopt); });
    section("and the next one is served", [&] { EXPECT_EQ(answerTo(context, address, 'x'), 'y'); });
}

TEST(Listener, AcceptsWhatItsQueueHoldsBeforeItCloses)
{
    KeptConnections node;
    asio::io_context callersContext;
    std::vector<tcp::socket> callers;
    callers.reserve(waitingCallers);
    const tcp::endpoint address = node.address();
    for (int i = 0; i < waitingCallers; ++i) {
        callers.push_back(callerWithByte(callersContext, address));
    }
    section("the node stops before it accepted any of three connections", [&] {
        closeListener(node.listener);
        ASSERT_EQ(node.kept.size(), waitingCallers);
    });
    section("each of them is served", [&] {
        for (std::size_t i = 0; i < callers.size(); ++i) {
            char byte = 0;
            error_code error;
            asio::read(node.kept[i], asio::buffer(&byte, 1), error);
            EXPECT_FALSE(error) << error.message();
            asio::write(node.kept[i], asio::buffer("y", 1));
            asio::read(callers[i], asio::buffer(&byte, 1), error);
            EXPECT_FALSE(error) << error.message();
            EXPECT_EQ(byte, 'y');
        }
    });
    section("a later connection is refused", [&] {
        tcp::socket late(callersContext);
        error_code error;
        late.connect(address, error);
        EXPECT_EQ(error, asio::error::connection_refused);
    });
}

TEST(Listener, ClosesWhileItWaitsForConnections)
{
    KeptConnections node;
    asio::io_context callersContext;
    const tcp::endpoint address = node.address();
    bool ended = false;
    asio::co_spawn(node.context, acceptLoop(node.listener), [&ended](const std::exception_ptr &) { ended = true; });
    node.context.poll();
    section("one connection arrives in the same moment as the close", [&] {
        const tcp::socket caller = callerWithByte(callersContext, address);
        closeListener(node.listener);
        node.context.run();
        EXPECT_EQ(node.kept.size(), 1);
    });
    section("and the loop ends", [&] { EXPECT_TRUE(ended); });
}

} // namespace agatedoor
