#include "agatedoor/state/shared_backend_ends.hpp"

#include "support/story.hpp"

namespace agatedoor::test {

namespace {

constexpr TimePoint now{std::chrono::seconds(100)};
const ContentDigest deadly{"d0"};
const ContentDigest harmless{"h0"};

BackendEnd endOf(std::uint64_t id, const std::vector<ContentDigest> &contents, TimePoint at = now)
{
    BackendEnd end{{id}, {}, deadlineAfter(at, BackendEndOptions{}.retention)};
    for (const auto &content : contents) {
        end.requests.push_back({content, false});
    }
    return end;
}

} // namespace

TEST(BackendEnds, TellTheRequestThatStandsBesideEach)
{
    BackendEnds ends;
    section("a request counts once for each end, however often the end is told", [&] {
        EXPECT_TRUE(mergeEnd(ends, endOf(1, {deadly, harmless})));
        EXPECT_FALSE(mergeEnd(ends, endOf(1, {deadly})));
        EXPECT_TRUE(mergeEnd(ends, endOf(2, {deadly, harmless})));
        EXPECT_EQ(endsBeside(ends, deadly, now), 2);
        EXPECT_EQ(endsBeside(ends, harmless, now), 2);
    });
    section("an answer acquits a request of the ends before it, on each node that learns of it, in any order", [&] {
        const auto changed = acquit(ends, harmless);
        EXPECT_EQ(changed.size(), 2U);
        EXPECT_EQ(endsBeside(ends, harmless, now), 0);
        EXPECT_EQ(endsBeside(ends, deadly, now), 2);
        BackendEnds other;
        mergeEnd(other, changed[0]);
        EXPECT_FALSE(mergeEnd(other, endOf(1, {deadly, harmless})));
        EXPECT_EQ(endsBeside(other, harmless, now), 0);
    });
    section("but not of later ones", [&] {
        mergeEnd(ends, endOf(3, {deadly, harmless}));
        EXPECT_EQ(endsBeside(ends, harmless, now), 1);
        EXPECT_EQ(endsBeside(ends, deadly, now), 3);
    });
    section("after some minutes an end is forgotten", [&] {
        const TimePoint later = now + BackendEndOptions{}.retention;
        EXPECT_EQ(endsBeside(ends, deadly, later), 0);
        forgetOldEnds(ends, later);
        EXPECT_TRUE(ends.byId.empty());
    });
}

/// Guards against an evidence store that a storm of unrelated ends fills, so that the one request which matters is forgotten.
TEST(BackendEnds, OfUnrelatedRequestsAreDroppedBeforeThoseOfOneRequest)
{
    BackendEnds ends;
    mergeEnd(ends, endOf(1, {deadly}));
    mergeEnd(ends, endOf(2, {deadly}));
    for (std::uint64_t id = 10; id < 300; ++id) {
        mergeEnd(ends, endOf(id, {{"x" + std::to_string(id)}}, now + std::chrono::milliseconds(id)));
    }
    EXPECT_EQ(ends.byId.size(), BackendEndOptions{}.maxEnds);
    EXPECT_EQ(endsBeside(ends, deadly, now), 2);
    section("beside one end only so many requests are remembered", [&] {
        for (int i = 0; i < 100; ++i) {
            mergeEnd(ends, endOf(1, {{"y" + std::to_string(i)}}));
        }
        EXPECT_EQ(ends.byId.at({1}).requests.size(), BackendEndOptions{}.maxRequests);
    });
}

TEST(BackendEnds, HaveOneDigestOnAllNodesThatKnowTheSame)
{
    BackendEnds a;
    BackendEnds b;
    EXPECT_EQ(digestOf(a), 0U);
    mergeEnd(a, endOf(1, {deadly, harmless}));
    mergeEnd(a, endOf(2, {deadly}));
    mergeEnd(b, endOf(2, {deadly}));
    EXPECT_NE(digestOf(a), digestOf(b));
    mergeEnd(b, endOf(1, {harmless}));
    mergeEnd(b, endOf(1, {deadly}));
    EXPECT_EQ(digestOf(a), digestOf(b));
    acquit(a, harmless);
    EXPECT_NE(digestOf(a), digestOf(b));
}

TEST(SharedBackendEnds, TellPeersWhatIsNewAndOnlyThat)
{
    SharedBackendEnds shared;
    section("while there are none, nothing is known", [&] {
        EXPECT_TRUE(shared.empty());
        EXPECT_FALSE(shared.mayKnow("d"));
        EXPECT_TRUE(shared.takeNews().empty());
    });
    section("what this node learned is news once", [&] {
        shared.recordEnd({1}, deadly, now);
        EXPECT_TRUE(shared.mayKnow("d"));
        EXPECT_FALSE(shared.mayKnow("h"));
        EXPECT_EQ(shared.takeNews().size(), 1U);
        EXPECT_TRUE(shared.takeNews().empty());
    });
    section("what a peer tells is passed on only if it was new", [&] {
        shared.merge({endOf(1, {deadly})});
        EXPECT_TRUE(shared.takeNews().empty());
        shared.merge({endOf(2, {deadly})});
        EXPECT_EQ(shared.takeNews().size(), 1U);
        EXPECT_EQ(shared.endsBeside(deadly, now), 2);
    });
    section("an answer is news", [&] {
        shared.recordAnswer(deadly);
        EXPECT_EQ(shared.takeNews().size(), 2U);
        EXPECT_EQ(shared.endsBeside(deadly, now), 0);
    });
    section("once all are forgotten the request path asks no further", [&] {
        (void)shared.current(now + BackendEndOptions{}.retention);
        EXPECT_TRUE(shared.empty());
    });
}

} // namespace agatedoor::test
