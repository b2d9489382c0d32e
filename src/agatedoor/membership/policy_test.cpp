#include "support/golden.hpp"
#include "support/queue_simulation.hpp"
#include "support/story.hpp"

#include <cstdio>

namespace agatedoor::test {

namespace {

using std::chrono::milliseconds;

constexpr Duration faultAt = milliseconds(1000);
constexpr Duration recoveredAt = milliseconds(3000);
constexpr std::size_t backendCount = 8;
constexpr double maxSlowP99Ratio = 1.5; ///< Limit of the p99 with one slow backend server, relative to the healthy p99.
constexpr std::int64_t maxRequestsToDetect = 99;

QueueScenario scenarioOf(RoutingPolicy policy, std::vector<BehaviourChange> changes = {}, std::uint64_t seed = 1)
{
    QueueScenario scenario;
    scenario.policy = policy;
    scenario.changes = std::move(changes);
    scenario.seed = seed;
    scenario.backends.assign(backendCount, Locality::SameZone);
    return scenario;
}

QueueScenario predicted(std::vector<BehaviourChange> changes = {}, std::uint64_t seed = 1)
{
    return scenarioOf(RoutingPolicy::PredictedCost, std::move(changes), seed);
}

std::vector<BehaviourChange> faultOf(std::size_t backend, Behaviour behaviour)
{
    return {{faultAt, backend, behaviour}};
}

std::vector<BehaviourChange> slowAndRejecting()
{
    return {{faultAt, 0, Behaviour::Slow}, {faultAt, 1, Behaviour::Rejecting}};
}

/// Attempts sent to @p backend within @p after of the fault.
std::int64_t attemptsAfterFault(QueueScenario scenario, std::size_t backend, Duration after)
{
    scenario.countFrom = faultAt;
    scenario.length = faultAt + after;
    return simulate(scenario).attemptsByBackend[backend];
}

std::string sessionLog(QueueScenario scenario)
{
    scenario.length = milliseconds(6000);
    scenario.logInterval = milliseconds(250);
    return simulate(scenario).log;
}

std::vector<BehaviourChange> withRecovery(std::vector<BehaviourChange> changes)
{
    const std::size_t faults = changes.size();
    for (std::size_t i = 0; i < faults; ++i) {
        changes.push_back({recoveredAt, changes[i].backend, Behaviour::Healthy});
    }
    return changes;
}

} // namespace

TEST(Policy, KeepsTheP99LowWhileOneBackendServerIsSlow)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        const double healthy = simulate(predicted({}, seed)).p99Ms;
        const auto slow = faultOf(0, Behaviour::Slow);
        section("seed " + std::to_string(seed), [&] {
            EXPECT_LE(simulate(predicted(slow, seed)).p99Ms, healthy * maxSlowP99Ratio);
            section("choosing the less loaded of two by requests in flight exceeds the limit", [&] {
                const double baseline = simulate(scenarioOf(RoutingPolicy::LeastRequests, slow, seed)).p99Ms;
                EXPECT_GT(baseline, healthy * maxSlowP99Ratio);
            });
        });
    }
}

TEST(Policy, DetectsAFaultWithinTensOfRequests)
{
    for (const auto behaviour : {Behaviour::Slow, Behaviour::Rejecting, Behaviour::Hanging}) {
        for (const std::uint64_t seed : {1, 2, 3}) {
            QueueScenario scenario = predicted(faultOf(0, behaviour), seed);
            scenario.nodes = 1;
            const std::int64_t sent = attemptsAfterFault(scenario, 0, milliseconds(200));
            const std::int64_t normal = attemptsAfterFault(predicted({}, seed), 0, milliseconds(200));
            std::printf("behaviour %d seed %lu: %ld of normally %ld requests in 200 ms\n", static_cast<int>(behaviour), static_cast<unsigned long>(seed),
                        static_cast<long>(sent), static_cast<long>(normal));
            EXPECT_LE(sent, maxRequestsToDetect);
        }
    }
}

TEST(Policy, RoutesRequestsToARecoveredBackendServerAgain)
{
    constexpr Duration recoveryLimit = std::chrono::seconds(5);
    constexpr Duration lastSecond = std::chrono::seconds(1);
    const std::int64_t normal = attemptsAfterFault(predicted(), 0, lastSecond);
    for (const auto behaviour : {Behaviour::Slow, Behaviour::Rejecting, Behaviour::Hanging}) {
        QueueScenario scenario = predicted(withRecovery(faultOf(0, behaviour)));
        scenario.countFrom = recoveredAt + recoveryLimit - lastSecond;
        scenario.length = recoveredAt + recoveryLimit;
        const std::int64_t share = simulate(scenario).attemptsByBackend[0];
        std::printf("behaviour %d: %ld of normally %ld requests in the fifth second\n", static_cast<int>(behaviour), static_cast<long>(share),
                    static_cast<long>(normal));
        EXPECT_GE(share, normal / 2);
    }
}

TEST(Policy, KeepsTheP99LowWithoutLoadReports)
{
    QueueScenario healthy = predicted();
    healthy.measuring = {0};
    QueueScenario slow = predicted(faultOf(0, Behaviour::Slow));
    slow.measuring = {0};
    EXPECT_LE(simulate(slow).p99Ms, simulate(healthy).p99Ms * maxSlowP99Ratio);
    EXPECT_EQ(simulate(slow).measuringBytes, 0);
}

TEST(Policy, SessionLogsMatchTheGoldenFiles)
{
    expectGolden("routing_slow.txt", sessionLog(predicted(withRecovery(faultOf(0, Behaviour::Slow)))));
    expectGolden("routing_rejecting.txt", sessionLog(predicted(withRecovery(faultOf(1, Behaviour::Rejecting)))));
    expectGolden("routing_hanging.txt", sessionLog(predicted(withRecovery(faultOf(2, Behaviour::Hanging)))));
    expectGolden("routing_slow_and_rejecting.txt", sessionLog(predicted(withRecovery(slowAndRejecting()))));
    section("when two of three backend servers in the same zone reject, requests go to other zones, then to other regions", [] {
        QueueScenario scenario = predicted(withRecovery({{faultAt, 0, Behaviour::Rejecting}, {faultAt, 1, Behaviour::Rejecting}}));
        scenario.backends = {Locality::SameZone,   Locality::SameZone,   Locality::SameZone,    Locality::SameRegion,
                             Locality::SameRegion, Locality::SameRegion, Locality::OtherRegion, Locality::OtherRegion};
        expectGolden("routing_spill.txt", sessionLog(scenario));
    });
}

} // namespace agatedoor::test
