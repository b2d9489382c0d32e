#include "agatedoor/decide/request_limit.hpp"

#include "agatedoor/base/random.hpp"
#include "support/story.hpp"

#include <deque>

namespace agatedoor {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::section;

constexpr TimePoint start{seconds(100)};
constexpr seconds window{4};

/// Requests that the users' rule allows in a window.
double allowed(double rate)
{
    return 1.5 * rate * 4 + 5;
}

/// Most requests that were taken in any window.
class Windows
{
public:
    void add(TimePoint at)
    {
        m_recent.push_back(at);
        while (m_recent.front() <= at - window) {
            m_recent.pop_front();
        }
        m_most = std::max(m_most, m_recent.size());
    }

    std::size_t most() const { return m_most; }

private:
    std::deque<TimePoint> m_recent;
    std::size_t m_most = 0;
};

} // namespace

/// Guards against a backend server that gets more than it takes, for which its owning node restarts at random moments.
TEST(RequestLimit, EachWindowStaysWithinTheRuleOverRestartsOfTheOwner)
{
    for (const double rate : {0.5, 2.0, 11.0, 60.0}) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Random random{seed};
            RequestLimit limit;
            applyNotice(limit, {rate, start}, start);
            Windows windows;
            std::size_t taken = 0;
            for (TimePoint now = start; now < start + seconds(60); now += milliseconds(2)) {
                if (uniformIndex(random, 1'000) == 0) {
                    limit = {};
                    adoptRate(limit, rate, now);
                }
                if (takeRequest(limit, now)) {
                    windows.add(now);
                    ++taken;
                }
            }
            EXPECT_LE(static_cast<double>(windows.most()), allowed(rate)) << "rate " << rate << " seed " << seed;
            EXPECT_GE(static_cast<double>(taken), rate * 60 * 0.2) << "rate " << rate << " seed " << seed;
        }
    }
}

TEST(RequestLimit, WhatAnswersSayDecides)
{
    RequestLimit limit;
    section("without a limit everything may be sent", [&] {
        for (int i = 0; i < 1'000; ++i) {
            EXPECT_TRUE(takeRequest(limit, start));
        }
    });
    section("a named limit binds at once", [&] {
        applyNotice(limit, {10.0, start}, start);
        EXPECT_FALSE(takeRequest(limit, start));
        EXPECT_TRUE(takeRequest(limit, start + milliseconds(100)));
        EXPECT_FALSE(takeRequest(limit, start + milliseconds(110)));
    });
    section("a request that wasn't sent is given back", [&] {
        returnRequest(limit);
        EXPECT_TRUE(takeRequest(limit, start + milliseconds(110)));
    });
    section("an answer to a request sent before the limit was named doesn't end it", [&] {
        applyNotice(limit, {std::nullopt, start - milliseconds(1)}, start + milliseconds(120));
        EXPECT_GT(limit.rate, 0);
    });
    section("what another node remembers doesn't replace what the backend server said", [&] {
        adoptRate(limit, 99, start + milliseconds(120));
        EXPECT_EQ(limit.rate, 10);
    });
    section("a later answer without it does", [&] {
        applyNotice(limit, {std::nullopt, start + milliseconds(1)}, start + milliseconds(130));
        EXPECT_EQ(limit.rate, 0);
        adoptRate(limit, 99, start + milliseconds(140));
        EXPECT_EQ(limit.rate, 0);
    });
    section("a limit of nothing still lets a request through now and then", [&] {
        applyNotice(limit, {0.0, start}, start + seconds(1));
        EXPECT_FALSE(takeRequest(limit, start + seconds(2)));
        EXPECT_TRUE(takeRequest(limit, start + seconds(4)));
    });
}

} // namespace agatedoor
