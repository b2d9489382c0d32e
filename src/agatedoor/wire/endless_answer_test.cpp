#include "agatedoor/wire/etcd_store.hpp"
#include "agatedoor/wire/http_call.hpp"
#include "support/endless_answer.hpp"
#include "support/story.hpp"

#include <gtest/gtest.h>

#include <unistd.h>

#include <algorithm>
#include <string>
#include <vector>

namespace agatedoor {

namespace {

using namespace std::chrono_literals;

constexpr Duration patience = 2s;
constexpr Duration slack = 1s; ///< On a busy machine.
constexpr std::int64_t bodyBound = 17LL * 1024 * 1024; ///< The largest answer that is taken, and some more.

/// Answers of the store, or of a peer's interface, that never end.
std::vector<test::EndlessAnswer> allEndlessAnswers()
{
    auto all = test::endlessAnswers();
    all.push_back(test::slowBody());
    return all;
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
void expectBounded(const test::EndlessAnswer &endless, Call call)
{
    test::section(endless.name, [&] {
        const test::RawBackend other(ownAddress(), test::scriptOf(endless));
        const TimePoint start = Clock::now();
        EXPECT_FALSE(call(deadlineAfter(start, patience)));
        EXPECT_LT(Clock::now() - start, patience + slack);
        EXPECT_LE(other.mostSentBytes(), bodyBound + test::socketBufferBytes());
    });
}

} // namespace

TEST(EndlessAnswers, EndACallInTimeAndWithinItsBound)
{
    for (const auto &endless : allEndlessAnswers()) {
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
    for (const auto &endless : allEndlessAnswers()) {
        expectBounded(endless, [&store](Deadline deadline) { return watchBringsEvents(store, deadline); });
    }
    test::section("progress without an event, faster than it is read", [&store] {
        std::string lines;
        while (lines.size() < test::endlessPartBytes) {
            lines += "{\"result\":{\"header\":{\"revision\":\"7\"}}}\n";
        }
        const test::RawBackend other(ownAddress(), [&lines](std::size_t part) { return part == 0 ? "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" : lines; });
        const TimePoint start = Clock::now();
        EXPECT_FALSE(watchBringsEvents(store, deadlineAfter(start, patience)));
        EXPECT_LT(Clock::now() - start, patience + slack);
    });
}

} // namespace agatedoor
