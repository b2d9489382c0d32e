#include "agatedoor/state/request_trial.hpp"

#include "agatedoor/state/answered_requests.hpp"
#include "agatedoor/state/shared_trials.hpp"
#include "support/story.hpp"

#include <set>

namespace agatedoor::test {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{std::chrono::seconds(100)};
constexpr TrialOptions options{};
constexpr int nodes = 100;
const ContentDigest content{"d0"};

/// The keys of the store, of which only one can be created by each name.
struct TrialKeys
{
    std::set<RequestTrial> created;

    bool create(const RequestTrial &trial) { return created.insert(trial).second; }
};

/// Nodes that each refuse one request, every hundred milliseconds.
struct RefusingFleet
{
    explicit RefusingFleet(bool answeredBefore)
    {
        for (int i = 0; i < nodes; ++i) {
            BackendEnds known;
            for (std::uint64_t id = 1; id <= 3; ++id) {
                mergeEnd(known, endAt(id, start));
            }
            ends.push_back(std::move(known));
            answered.push_back(answeredBefore);
        }
    }

    static BackendEnd endAt(std::uint64_t id, TimePoint at) { return {{id}, {{content}}, deadlineAfter(at, BackendEndOptions{}.retention)}; }

    /// Lets time pass. @p told: nodes learn of each other's trials and ends.
    void refuseUntil(TimePoint until, bool told)
    {
        for (; now < until; now += 100ms) {
            for (int i = 0; i < nodes; ++i) {
                refuseAt(i, told);
            }
        }
    }

    void refuseAt(int node, bool told)
    {
        const auto place = static_cast<std::size_t>(node);
        const RefusedRequest request{content, suspicionOf(ends[place], content, now), answered[place]};
        const auto trial = dueTrial(request, {{"node-" + std::to_string(node)}, nodes}, now, options);
        if (!trial) {
            return;
        }
        ++asked;
        const bool granted = keys.create(*trial);
        (void)noteTrials(ends[place], content, trial->number + 1, deadlineAfter(now, options.waitBetween));
        if (!granted) {
            return;
        }
        madeAt.push_back(now);
        for (std::size_t other = 0; other < ends.size(); ++other) {
            if (told || other == place) {
                mergeEnd(ends[other], endAt(100 + madeAt.size(), now));
                (void)noteTrials(ends[other], content, trial->number + 1, deadlineAfter(now, options.waitBetween));
            }
        }
    }

    std::vector<BackendEnds> ends;
    std::vector<bool> answered;
    TrialKeys keys;
    TimePoint now = start;
    int asked = 0;
    std::vector<TimePoint> madeAt;
};

} // namespace

/// Guards against a sound request that stays refused because, being refused, it can't be answered.
TEST(RequestTrial, OfARequestThatWasAnsweredBeforeComesWithinSeconds)
{
    RefusingFleet fleet(true);
    section("none while the backend servers are likely to be down still", [&] {
        fleet.refuseUntil(start + options.waitIfAnsweredBefore, true);
        EXPECT_TRUE(fleet.madeAt.empty());
    });
    section("one a moment later, which an answer would end", [&] {
        fleet.refuseUntil(start + 4s, true);
        ASSERT_EQ(fleet.madeAt.size(), 1U);
    });
    section("a request that nobody has seen answered waits longer", [] {
        RefusingFleet unknown(false);
        unknown.refuseUntil(start + 19s, true);
        EXPECT_TRUE(unknown.madeAt.empty());
        unknown.refuseUntil(start + 21s, true);
        EXPECT_EQ(unknown.madeAt.size(), 1U);
    });
}

/// Guards against trials that each node makes by itself, and which end one backend server after the other.
TEST(RequestTrial, OfADeadlyRequestAreFewOnAllNodesTogether)
{
    section("no more than so many while the ends are remembered, and not soon after one another", [] {
        RefusingFleet fleet(true);
        fleet.refuseUntil(start + BackendEndOptions{}.retention, true);
        ASSERT_EQ(fleet.madeAt.size(), static_cast<std::size_t>(options.maxTrials));
        EXPECT_GE(fleet.madeAt[1] - fleet.madeAt[0], options.waitBetween);
        EXPECT_LE(fleet.asked, nodes); // Most nodes hear of a trial before it is their turn to ask.
    });
    section("also when no node hears of another one's", [] {
        RefusingFleet fleet(true);
        fleet.refuseUntil(start + BackendEndOptions{}.retention, false);
        EXPECT_EQ(fleet.madeAt.size(), static_cast<std::size_t>(options.maxTrials));
    });
}

TEST(RequestTrial, IsCountedByTheEndsThatAreLeft)
{
    BackendEnds ends;
    mergeEnd(ends, RefusingFleet::endAt(1, start));
    mergeEnd(ends, RefusingFleet::endAt(2, start + 1s));
    section("a request without ends isn't tried", [&] {
        const RefusedRequest other{{"other"}, suspicionOf(ends, {"other"}, start), true};
        EXPECT_FALSE(dueTrial(other, {{"a"}, 1}, start + 1h, options));
    });
    section("the newest end counts, and a trial counts for ends that come later too", [&] {
        EXPECT_EQ(suspicionOf(ends, content, start).lastEndAt, start + 1s);
        EXPECT_EQ(noteTrials(ends, content, 1, deadlineAfter(start, 30s)).size(), 2U);
        EXPECT_TRUE(noteTrials(ends, content, 1, deadlineAfter(start, 40s)).empty());
        mergeEnd(ends, RefusingFleet::endAt(3, start + 2s));
        EXPECT_EQ(suspicionOf(ends, content, start).trials, 1);
        EXPECT_EQ(suspicionOf(ends, content, start).nextTrialAt, deadlineAfter(start, 30s));
    });
    section("an answer clears the request of the ends so far, and of their trials", [&] {
        (void)acquit(ends, content);
        mergeEnd(ends, RefusingFleet::endAt(4, start + 3s));
        EXPECT_EQ(suspicionOf(ends, content, start).ends, 1);
        EXPECT_EQ(suspicionOf(ends, content, start).trials, 0);
    });
}

TEST(SharedTrials, GrantOneOfTheRequestsThatWait)
{
    SharedTrials trials;
    const RequestTrial trial{content, 0};
    const auto waiter = std::make_shared<TrialWaiter>();
    int woken = 0;
    waiter->trial = trial;
    waiter->wake = [&woken] { ++woken; };
    section("a node asks once, and not again at once", [&] {
        EXPECT_TRUE(trials.ask(waiter, start));
        const auto second = std::make_shared<TrialWaiter>(*waiter);
        EXPECT_FALSE(trials.ask(second, start + 100ms));
        EXPECT_EQ(trials.stopWaiting(second), TrialAnswer::Unknown) << "which ends no other wait";
        EXPECT_TRUE(std::holds_alternative<AskForTrial>(*trials.waitForWork()));
    });
    section("the request learns what the store said", [&] {
        trials.reply(trial, TrialAnswer::Granted);
        EXPECT_EQ(woken, 1);
        EXPECT_EQ(trials.stopWaiting(waiter), TrialAnswer::Granted);
    });
    section("a trial that isn't begun is given back, one that is begun isn't", [&] {
        {
            const HeldTrial held(trials, trial);
        }
        EXPECT_TRUE(std::holds_alternative<GiveTrialBack>(*trials.waitForWork()));
        {
            HeldTrial held(trials, trial);
            held.begin();
        }
        trials.giveBack({content, 7});
        EXPECT_EQ(std::get<GiveTrialBack>(*trials.waitForWork()).trial.number, 7);
    });
    section("one that is granted when nobody waits any more is given back", [&] {
        const auto late = std::make_shared<TrialWaiter>(TrialWaiter{.trial = trial, .wake = [] {}});
        EXPECT_TRUE(trials.ask(late, start + 2s));
        EXPECT_TRUE(std::holds_alternative<AskForTrial>(*trials.waitForWork()));
        EXPECT_EQ(trials.stopWaiting(late), TrialAnswer::Unknown);
        trials.reply(trial, TrialAnswer::Granted);
        EXPECT_TRUE(std::holds_alternative<GiveTrialBack>(*trials.waitForWork()));
    });
    section("after the end there is no work", [&] {
        trials.close();
        EXPECT_FALSE(trials.waitForWork());
    });
}

TEST(AnsweredRequests, KnowThoseRecordedLast)
{
    AnsweredRequests answered;
    answered.record({1});
    EXPECT_TRUE(answered.contains({1}));
    EXPECT_FALSE(answered.contains({2}));
    answered.record({1 + 8192});
    EXPECT_FALSE(answered.contains({1}));
}

} // namespace agatedoor::test
