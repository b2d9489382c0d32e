#include "idle_probe.hpp"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <netinet/tcp.h>

namespace agatedoor {

namespace {

namespace asio = boost::asio;

template <int Level, int Name>
int optionOf(asio::ip::tcp::socket &socket)
{
    asio::detail::socket_option::integer<Level, Name> option;
    socket.get_option(option);
    return option.value();
}

} // namespace

TEST(IdleProbe, FindsASilentConnectionWithinThreeSeconds)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context, asio::ip::tcp::v4());
    probeWhileIdle(socket);
    const int idle = optionOf<IPPROTO_TCP, TCP_KEEPIDLE>(socket);
    const int pause = optionOf<IPPROTO_TCP, TCP_KEEPINTVL>(socket);
    const int probes = optionOf<IPPROTO_TCP, TCP_KEEPCNT>(socket);
    const int on = optionOf<SOL_SOCKET, SO_KEEPALIVE>(socket);
    EXPECT_NE(on, 0);
    EXPECT_LE(idle + pause * probes, 3);
}

} // namespace agatedoor
