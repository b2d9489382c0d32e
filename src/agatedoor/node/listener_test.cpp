#include "listener.hpp"

#include "support/story.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

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

} // namespace

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
