#include "agatedoor/decide/routing.hpp"

#include "support/story.hpp"

#include <array>
#include <vector>

namespace agatedoor {

namespace {

using std::chrono::milliseconds;

constexpr TimePoint now{std::chrono::seconds(100)};
constexpr int draws = 20'000;

Candidate idle(Locality locality = Locality::SameZone, Duration pathDelay = std::chrono::microseconds(200))
{
    Candidate candidate;
    candidate.locality = locality;
    candidate.slots = {10};
    candidate.pathDelay = pathDelay;
    candidate.serviceTime = milliseconds(5);
    candidate.reportedAt = now;
    return candidate;
}

/// Share of the work that each candidate receives.
std::vector<double> shares(const std::vector<Candidate> &candidates, const RoutingOptions &options = {})
{
    std::vector<double> counts(candidates.size());
    Random random{11};
    std::size_t turn = 0;
    for (int i = 0; i < draws; ++i) {
        counts[*chooseBackend(candidates, options, now, random, turn)] += 1.0 / draws;
    }
    return counts;
}

/// Three near ones and a far one that is otherwise better.
std::vector<Candidate> nearAndFar()
{
    return {idle(), idle(), idle(Locality::SameRegion), idle(Locality::OtherRegion, std::chrono::microseconds(0))};
}

Duration costOf(const Candidate &candidate, TimePoint at = now)
{
    return predictedCost(candidate, {milliseconds(5), 0}, CostOptions{}, at);
}

} // namespace

TEST(Routing, FollowsTheCost)
{
    test::section("a request without an answer for long counts as slowness", [] {
        Candidate silent = idle();
        silent.ownInFlight = 1;
        silent.silentSince = now - milliseconds(80);
        EXPECT_GE(costOf(silent), milliseconds(80) / CostOptions{}.noiseFactor);
        silent.ownInFlight = 0;
        EXPECT_LT(costOf(silent), milliseconds(10));
    });
    test::section("times that this node saw itself count beside the reports", [] {
        Candidate slow = idle();
        slow.observedTime = milliseconds(50);
        slow.observedAt = now;
        EXPECT_GE(costOf(slow), milliseconds(50) / CostOptions{}.noiseFactor);
        test::section("and fade with their age", [&] { EXPECT_LT(costOf(slow, now + std::chrono::seconds(10)), milliseconds(10)); });
    });
    test::section("an older report counts less", [] {
        Candidate busy = idle();
        busy.reportedInFlight = 30;
        EXPECT_GT(costOf(busy), milliseconds(15));
        EXPECT_LT(costOf(busy, now + std::chrono::seconds(2)), milliseconds(6));
    });
    test::section("own requests are not counted twice", [] {
        Candidate own = idle();
        own.ownInFlight = own.ownAtReport = own.reportedInFlight = 12;
        Candidate others = own;
        others.ownAtReport = 0;
        EXPECT_LT(costOf(own), costOf(others));
    });
    test::section("a refusal for load raises the cost for a short time", [] {
        Candidate refused = idle();
        refused.overloadedUntil = now + milliseconds(20);
        EXPECT_GT(costOf(refused), costOf(idle()));
        EXPECT_EQ(costOf(refused, now + milliseconds(20)), costOf(idle(), now + milliseconds(20)));
    });
    test::section("an idle one that fails attracts no work", [] {
        std::vector<Candidate> candidates(4, idle());
        for (auto &candidate : candidates) {
            candidate.ownInFlight = 9;
        }
        candidates[2].ownInFlight = 0;
        candidates[2].failureRate = 0.4;
        candidates[2].failedAt = now;
        EXPECT_EQ(shares(candidates)[2], 0);
    });
}

TEST(Routing, SpreadsByWeight)
{
    test::section("equal ones share evenly", [] {
        for (const double share : shares(std::vector<Candidate>(5, idle()))) {
            EXPECT_NEAR(share, 0.2, 0.02);
        }
    });
    test::section("a warming one receives its share of the others' work", [] {
        std::vector<Candidate> candidates(8, idle());
        candidates[3].weight = 0.25;
        const auto found = shares(candidates);
        EXPECT_NEAR(found[3] / found[0], 0.25, 0.05);
    });
    test::section("the best one does not draw everybody: no more than two draws' share", [] {
        std::vector<Candidate> candidates(10, idle());
        for (auto &candidate : candidates) {
            candidate.ownInFlight = 5;
        }
        candidates[0].ownInFlight = 0;
        EXPECT_NEAR(shares(candidates)[0], 0.2, 0.02);
    });
}

TEST(Routing, StaysNearUnlessTheGainExceedsTheWay)
{
    const auto far = [] { return idle(Locality::OtherRegion, milliseconds(17)); };
    std::vector<Candidate> candidates{idle(), idle(), idle(Locality::SameRegion, milliseconds(3)), far()};
    test::section("own zone first", [&] {
        const auto found = shares(candidates);
        EXPECT_NEAR(found[0] + found[1], 1.0, 1e-9);
    });
    candidates[0].ownInFlight = candidates[1].ownInFlight = 40;
    test::section("a full zone spills into the region", [&] { EXPECT_NEAR(shares(candidates)[2], 1.0, 1e-9); });
    candidates[2].ownInFlight = 60;
    candidates[0].ownInFlight = candidates[1].ownInFlight = 60;
    RoutingOptions options;
    test::section("a full region spills across while the budget allows", [&] {
        EXPECT_NEAR(shares(candidates, options)[3], 1.0, 1e-9);
        options.mayCrossRegion = false;
        EXPECT_EQ(shares(candidates, options)[3], 0);
    });
    test::section("the budget doesn't keep a request from the only ones left", [&] { EXPECT_NEAR(shares({far()}, options)[0], 1.0, 1e-9); });
}

TEST(Routing, UsesWhatIsLeft)
{
    std::vector<Candidate> candidates(3, idle());
    candidates[0].ejected = true;
    candidates[1].avoided = true;
    candidates[2].draining = true;
    Random random{1};
    std::size_t turn = 0;
    for (const auto policy : {RoutingPolicy::RoundRobin, RoutingPolicy::LeastRequests, RoutingPolicy::PredictedCost}) {
        RoutingOptions options;
        options.policy = policy;
        test::section(std::string(wireName(policy)), [&] {
            candidates[0].excluded = candidates[1].excluded = false;
            EXPECT_EQ(chooseBackend(candidates, options, now, random, turn), 0U);
            candidates[0].excluded = true;
            EXPECT_EQ(chooseBackend(candidates, options, now, random, turn), 1U);
            candidates[1].excluded = true;
            EXPECT_EQ(chooseBackend(candidates, options, now, random, turn), std::nullopt);
        });
    }
}

TEST(Routing, KeepsASlowSpellInTheRegion)
{
    RoutingOptions options;
    options.nearOnly = true;
    auto candidates = nearAndFar();
    test::section("a slow VM is left for one near by that isn't", [&] {
        candidates[0].slow = true;
        EXPECT_EQ(shares(candidates, options)[0], 0);
        EXPECT_EQ(shares(candidates, options)[3], 0);
    });
    test::section("while all near ones are slow the region is not left", [&] {
        candidates[1].slow = candidates[2].slow = true;
        EXPECT_EQ(shares(candidates, options)[3], 0);
        EXPECT_NEAR(shares(candidates)[3], 1, 1e-6);
    });
    test::section("it is left when nothing near is in order", [&] {
        candidates[0].draining = true;
        candidates[1].ejected = true;
        candidates[2].avoided = true;
        EXPECT_NEAR(shares(candidates, options)[3], 1, 1e-6);
    });
}

/// Uploads of 60 KB and lookups of 3 KB, with one backend server in the zone and others elsewhere, as in a small zone.
TEST(Routing, LargeBodiesLeaveTheirZoneOnlyForAGain)
{
    std::vector<Candidate> candidates{idle(Locality::SameZone), idle(Locality::SameRegion), idle(Locality::SameRegion), idle(Locality::OtherRegion)};
    for (auto &candidate : candidates) {
        candidate.serviceTime = milliseconds(150);
    }
    Candidate &near = candidates.front();
    RoutingOptions upload;
    upload.crossing = crossingOf(Bytes{60'000});
    RoutingOptions lookup;
    lookup.crossing = crossingOf(Bytes{3'000});
    test::section("while the near one is a third busy, lookups spread and uploads stay", [&] {
        near.ownInFlight = 3;
        EXPECT_LT(shares(candidates)[0], 0.1);
        EXPECT_LT(shares(candidates, lookup)[0], 0.1);
        EXPECT_GT(shares(candidates, upload)[0], 0.9);
    });
    test::section("when it is full, uploads go to another zone and not to another region", [&] {
        near.ownInFlight = 14;
        const auto spread = shares(candidates, upload);
        EXPECT_LT(spread[0], 0.1);
        EXPECT_GT(spread[1] + spread[2], 0.9);
    });
    test::section("and to another region when the zones around are full too", [&] {
        candidates[1].ownInFlight = candidates[2].ownInFlight = near.ownInFlight = 40;
        EXPECT_GT(shares(candidates, upload)[3], 0.9);
    });
}

} // namespace agatedoor
