#include "agatedoor/wire/etcd_store.hpp"
#include "agatedoor/wire/http_call.hpp"
#include "support/raw_backend.hpp"
#include "support/story.hpp"

#include <gtest/gtest.h>

#include <unistd.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

namespace agatedoor {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t partBytes = 16UL * 1024;
constexpr Duration patience = 2s;
constexpr Duration slack = 1s; ///< On a busy machine.
constexpr std::int64_t bodyBound = 17LL * 1024 * 1024; ///< The largest answer that is taken, and some more.

/// Bytes of the store, or of a peer's interface, that never end.
struct Endless
{
    std::string name;
    std::string start; ///< Sent first.
    std::string again; ///< Sent again and again.
    Duration pause{0}; ///< Between parts.
};

std::vector<Endless> endlessAnswers()
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string x(partBytes, 'x');
    const std::string field = "X-More: " + std::string(100, 'y') + "\r\n";
    return {
        {.name = "one endless line", .start = "HTTP/1.1 200 ", .again = x},
        {.name = "endless header fields", .start = ok, .again = field},
        {.name = "endless informational responses", .start = "HTTP/1.1 102 Processing\r\n\r\n", .again = "HTTP/1.1 102 Processing\r\n\r\n"},
        {.name = "an endless chunk extension", .start = chunked + "1;", .again = x},
        {.name = "endless trailers", .start = chunked + "1\r\na\r\n0\r\n", .again = field},
        {.name = "chunks for ever, no line end", .start = chunked, .again = "4000\r\n" + x + "\r\n"},
        {.name = "a body without a length for ever", .start = ok + "Connection: close\r\n\r\n", .again = x},
        {.name = "a body one byte at a time", .start = ok + "Content-Length: 100000\r\n\r\n", .again = "x", .pause = 20ms},
    };
}

Endpoint ownAddress()
{
    return {"127." + std::to_string(1 + ::getpid() / 250 % 250) + "." + std::to_string(1 + ::getpid() % 250) + ".252", 2380};
}

bool watchBringsEvents(const Store &store, Deadline deadline)
{
    const auto reply = store.watch("agatedoor/", {1, {}}, deadline, std::stop_token{});
    return reply.has_value() && !reply.value().events.empty();
}

/// Sends @p endless on each connection while @p call is made.
template <typename Call>
void expectBounded(const Endless &endless, Call call)
{
    test::section(endless.name, [&] {
        test::RawBackend other(ownAddress(), [&endless](std::size_t part) {
            std::this_thread::sleep_for(endless.pause);
            return part == 0 ? endless.start : endless.again;
        });
        const TimePoint start = Clock::now();
        EXPECT_FALSE(call(deadlineAfter(start, patience)));
        EXPECT_LT(Clock::now() - start, patience + slack);
        EXPECT_LE(other.mostSentBytes(), bodyBound + test::socketBufferBytes());
    });
}

} // namespace

TEST(EndlessAnswers, EndACallInTimeAndWithinItsBound)
{
    for (const auto &endless : endlessAnswers()) {
        expectBounded(endless, [](Deadline deadline) { return httpCall(ownAddress(), {"GET", "/", {}, {}}, deadline).has_value(); });
    }
}

/// Guards against an informational response that is taken for the store's refusal of a write, which then may have been applied.
TEST(EndlessAnswers, TheFinalAnswerBehindInformationalOnesIsTaken)
{
    const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    const test::RawBackend other(ownAddress(), [&](std::size_t part) { return part < 2 ? interim : part == 2 ? answer : std::string(); });
    const auto reply = httpCall(ownAddress(), {"GET", "/", {}, {}}, deadlineAfter(Clock::now(), patience));
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply.value().status, 200);
    EXPECT_EQ(reply.value().body, "whole");
}

TEST(EndlessAnswers, EndAWatchOfTheStoreInTimeAndWithinItsBound)
{
    const Store store = makeEtcdStore({ownAddress()});
    for (const auto &endless : endlessAnswers()) {
        expectBounded(endless, [&store](Deadline deadline) { return watchBringsEvents(store, deadline); });
    }
    test::section("progress without an event, faster than it is read", [&store] {
        std::string lines;
        while (lines.size() < partBytes) {
            lines += "{\"result\":{\"header\":{\"revision\":\"7\"}}}\n";
        }
        const test::RawBackend other(ownAddress(), [&lines](std::size_t part) { return part == 0 ? "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" : lines; });
        const TimePoint start = Clock::now();
        EXPECT_FALSE(watchBringsEvents(store, deadlineAfter(start, patience)));
        EXPECT_LT(Clock::now() - start, patience + slack);
    });
}

} // namespace agatedoor
