#include "agatedoor/decide/routing.hpp"

#include "support/story.hpp"

#include <array>
#include <vector>

namespace agatedoor {

namespace {

using std::chrono::milliseconds;

constexpr TimePoint now{std::chrono::seconds(100)};
constexpr int draws = 20'000;

/// A candidate without load that reported just now.
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

/// Share of the requests that each candidate receives.
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

/// Three candidates in the region, and one in another region with a shorter path delay.
std::vector<Candidate> nearAndFar()
{
    return {idle(), idle(), idle(Locality::SameRegion), idle(Locality::OtherRegion, std::chrono::microseconds(0))};
}

Duration costOf(const Candidate &candidate, TimePoint at = now)
{
    return predictedCost(candidate, {milliseconds(5), 0}, CostOptions{}, at);
}

} // namespace

TEST(Routing, CostReflectsLoadAndFaults)
{
    test::section("a request in progress without an answer for a long time raises the cost", [] {
        Candidate silent = idle();
        silent.ownInFlight = 1;
        silent.silentSince = now - milliseconds(80);
        EXPECT_GE(costOf(silent), milliseconds(80) / CostOptions{}.noiseFactor);
        silent.ownInFlight = 0;
        EXPECT_LT(costOf(silent), milliseconds(10));
    });
    test::section("response times measured by this node raise the cost", [] {
        Candidate slow = idle();
        slow.observedTime = milliseconds(50);
        slow.observedAt = now;
        EXPECT_GE(costOf(slow), milliseconds(50) / CostOptions{}.noiseFactor);
        test::section("and lose weight with age", [&] { EXPECT_LT(costOf(slow, now + std::chrono::seconds(10)), milliseconds(10)); });
    });
    test::section("an older report has less weight", [] {
        Candidate busy = idle();
        busy.reportedInFlight = 30;
        EXPECT_GT(costOf(busy), milliseconds(15));
        EXPECT_LT(costOf(busy, now + std::chrono::seconds(2)), milliseconds(6));
    });
    test::section("requests of this node are not counted twice", [] {
        Candidate own = idle();
        own.ownInFlight = own.ownAtReport = own.reportedInFlight = 12;
        Candidate others = own;
        others.ownAtReport = 0;
        EXPECT_LT(costOf(own), costOf(others));
    });
    test::section("a refusal because of load raises the cost for a short time", [] {
        Candidate refused = idle();
        refused.overloadedUntil = now + milliseconds(20);
        EXPECT_GT(costOf(refused), costOf(idle()));
        EXPECT_EQ(costOf(refused, now + milliseconds(20)), costOf(idle(), now + milliseconds(20)));
    });
    test::section("an idle candidate that fails gets no requests", [] {
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
    test::section("equal candidates get equal shares", [] {
        for (const double share : shares(std::vector<Candidate>(5, idle()))) {
            EXPECT_NEAR(share, 0.2, 0.02);
        }
    });
    test::section("a candidate in slow start gets a share in proportion to its weight", [] {
        std::vector<Candidate> candidates(8, idle());
        candidates[3].weight = 0.25;
        const auto found = shares(candidates);
        EXPECT_NEAR(found[3] / found[0], 0.25, 0.05);
    });
    test::section("the best candidate gets only the requests for which it is drawn, with two draws for each request", [] {
        std::vector<Candidate> candidates(10, idle());
        for (auto &candidate : candidates) {
            candidate.ownInFlight = 5;
        }
        candidates[0].ownInFlight = 0;
        EXPECT_NEAR(shares(candidates)[0], 0.2, 0.02);
    });
}

TEST(Routing, StaysNearUnlessAFartherLocalityCostsLess)
{
    const auto far = [] { return idle(Locality::OtherRegion, milliseconds(17)); };
    std::vector<Candidate> candidates{idle(), idle(), idle(Locality::SameRegion, milliseconds(3)), far()};
    test::section("the own zone is preferred", [&] {
        const auto found = shares(candidates);
        EXPECT_NEAR(found[0] + found[1], 1.0, 1e-9);
    });
    candidates[0].ownInFlight = candidates[1].ownInFlight = 40;
    test::section("a full zone overflows to the region", [&] { EXPECT_NEAR(shares(candidates)[2], 1.0, 1e-9); });
    candidates[2].ownInFlight = 60;
    candidates[0].ownInFlight = candidates[1].ownInFlight = 60;
    RoutingOptions options;
    test::section("a full region overflows to another region while the byte budget allows it", [&] {
        EXPECT_NEAR(shares(candidates, options)[3], 1.0, 1e-9);
        options.mayCrossRegion = false;
        EXPECT_EQ(shares(candidates, options)[3], 0);
    });
    test::section("an exhausted byte budget doesn't exclude the only candidates that are left", [&] { EXPECT_NEAR(shares({far()}, options)[0], 1.0, 1e-9); });
}

TEST(Routing, UsesEjectedThenAvoidedCandidatesWhenNoOthersAreLeft)
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

TEST(Routing, StaysInTheRegionWhileVmsAreSlow)
{
    RoutingOptions options;
    options.nearOnly = true;
    auto candidates = nearAndFar();
    test::section("a VM in the region that isn't slow is preferred to a slow one", [&] {
        candidates[0].slow = true;
        EXPECT_EQ(shares(candidates, options)[0], 0);
        EXPECT_EQ(shares(candidates, options)[3], 0);
    });
    test::section("while all VMs in the region are slow, requests still stay there", [&] {
        candidates[1].slow = candidates[2].slow = true;
        EXPECT_EQ(shares(candidates, options)[3], 0);
        EXPECT_NEAR(shares(candidates)[3], 1, 1e-6);
    });
    test::section("requests leave the region when every candidate in it is draining, ejected or avoided", [&] {
        candidates[0].draining = true;
        candidates[1].ejected = true;
        candidates[2].avoided = true;
        EXPECT_NEAR(shares(candidates, options)[3], 1, 1e-6);
    });
}

/// Guards against large uploads that leave a small zone without need: one backend server is in the zone and the others are
/// elsewhere. Uploads have 60 KB, lookups 3 KB.
TEST(Routing, LargeBodiesLeaveTheirZoneOnlyForALargeGain)
{
    std::vector<Candidate> candidates{idle(Locality::SameZone), idle(Locality::SameRegion), idle(Locality::SameRegion), idle(Locality::OtherRegion)};
    for (auto &candidate : candidates) {
        candidate.serviceTime = milliseconds(150);
    }
    Candidate &near = candidates.front();
    RoutingOptions upload;
    upload.localityPenalties = localityPenaltiesOf(Bytes{60'000});
    RoutingOptions lookup;
    lookup.localityPenalties = localityPenaltiesOf(Bytes{3'000});
    test::section("while the near backend server uses a third of its slots, lookups leave the zone and uploads stay", [&] {
        near.ownInFlight = 3;
        EXPECT_LT(shares(candidates)[0], 0.1);
        EXPECT_LT(shares(candidates, lookup)[0], 0.1);
        EXPECT_GT(shares(candidates, upload)[0], 0.9);
    });
    test::section("when it is full, uploads go to another zone of the region", [&] {
        near.ownInFlight = 14;
        const auto spread = shares(candidates, upload);
        EXPECT_LT(spread[0], 0.1);
        EXPECT_GT(spread[1] + spread[2], 0.9);
    });
    test::section("uploads go to another region when the other zones of the region are full too", [&] {
        candidates[1].ownInFlight = candidates[2].ownInFlight = near.ownInFlight = 40;
        EXPECT_GT(shares(candidates, upload)[3], 0.9);
    });
}

} // namespace agatedoor
