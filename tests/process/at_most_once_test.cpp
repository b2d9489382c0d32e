#include "agatedoor/base/time.hpp"
#include "support/bounded_load.hpp"
#include "support/story.hpp"

#include <csignal>
#include <future>
#include <thread>

namespace agatedoor::test {

namespace {

namespace json = boost::json;

constexpr const char *bundle = "examples/deployments/statens_takstolsverk.toml";
constexpr const char *callerTimeout = "Agatedoor-Timeout-Us";

/// One request with what the caller was told.
struct Told
{
    std::string id;
    int status = 0;
    std::string outcome;
    std::string reason;
};

/// An ingress node and owning nodes behind relays, each with one backend server of the service that runs at most once.
class AtMostOnce : public ::testing::Test
{
protected:
    void start(int owners)
    {
        deployment.startStore();
        deployment.rollOut(bundle);
        deployment.startNode({"ingress", "sv-uppsala", "svealand"});
        for (int i = 0; i < owners; ++i) {
            const std::string owner = "owner" + std::to_string(i);
            deployment.startNode({owner, "sv-uppsala", "svealand", true});
            addBackend("backend" + std::to_string(i), owner);
        }
        deployment.waitUntilReady(static_cast<std::size_t>(owners));
    }

    void addBackend(const std::string &backend, const std::string &owner)
    {
        deployment.startBackend({backend, owner, "besiktning", 16});
        m_backends.push_back(backend);
    }

    Told send(const std::string &id, int timeoutMs = 4000, const std::string &body = "approved") const
    {
        const HttpRequest request{"POST", "/besiktning/sign-off", {{"Agatedoor-Request-Id", id}, {callerTimeout, std::to_string(timeoutMs * 1000)}}, body};
        const HttpReply reply = ask(deployment.callers("ingress"), request);
        return {id, reply.status, std::string(fieldOf(reply.fields, "Agatedoor-Outcome")), std::string(fieldOf(reply.fields, "Agatedoor-Reason"))};
    }

    std::future<Told> sendLater(const std::string &id, int timeoutMs = 4000) const
    {
        return std::async(std::launch::async, [this, id, timeoutMs] { return send(id, timeoutMs); });
    }

    std::int64_t runsOf(const std::string &id) const { return test::runsOf(countRuns(deployment, m_backends), id); }

    /// What must hold for every request that may run at most once.
    void expectTruthful(const Told &told) const
    {
        const auto runs = runsOf(told.id);
        EXPECT_LE(runs, 1) << told.id;
        if (told.outcome == "not-run") {
            EXPECT_EQ(runs, 0) << told.id << " " << told.reason;
        }
        if (told.outcome == "answered") {
            EXPECT_EQ(runs, 1) << told.id;
        }
    }

    bool runs(const std::string &id) const
    {
        return eventually([&] { return runsOf(id) == 1; });
    }

    std::int64_t admitted(const std::string &node, const std::string &backend) const
    {
        return deployment.dump(node).at("local_backends").as_object().at(backend).as_object().at("admitted").to_number<std::int64_t>();
    }

    void slowDown(std::int64_t serviceMs) const
    {
        for (const auto &backend : m_backends) {
            deployment.behave(backend, R"({"service_us":)" + std::to_string(serviceMs * 1000) + "}");
        }
    }

    void endBackend(const std::string &backend)
    {
        std::erase(m_backends, backend);
        deployment.backend(backend).signal(SIGKILL);
    }

    Deployment deployment;

private:
    std::vector<std::string> m_backends;
};

} // namespace

TEST_F(AtMostOnce, OwnerKilled)
{
    start(2);
    section("before the commit, the request runs elsewhere", [&] {
        deployment.node("owner0").signal(SIGSTOP);
        std::vector<std::future<Told>> pending;
        pending.reserve(4);
        for (int i = 0; i < 4; ++i) {
            pending.push_back(sendLater("killed-before-" + std::to_string(i)));
        }
        deployment.node("owner0").signal(SIGKILL);
        for (auto &each : pending) {
            const Told told = each.get();
            EXPECT_EQ(told.outcome, "answered") << told.reason;
            expectTruthful(told);
        }
    });
    section("after the commit, its outcome is unknown and it is never repeated", [&] {
        slowDown(600);
        auto pending = sendLater("killed-after");
        ASSERT_TRUE(runs("killed-after"));
        deployment.node("owner1").signal(SIGKILL);
        const Told told = pending.get();
        EXPECT_EQ(told.outcome, "unknown");
        expectTruthful(told);
    });
}

TEST_F(AtMostOnce, OwnerFrozen)
{
    start(2);
    section("through the offer, the request runs elsewhere, and a thaw runs nothing", [&] {
        deployment.node("owner0").signal(SIGSTOP);
        std::vector<Told> all;
        for (int i = 0; i < 4; ++i) {
            all.push_back(send("frozen-offer-" + std::to_string(i)));
            EXPECT_EQ(all.back().outcome, "answered") << all.back().reason;
        }
        deployment.node("owner0").signal(SIGCONT);
        EXPECT_EQ(send("after-thaw").outcome, "answered");
        for (const auto &told : all) {
            expectTruthful(told);
        }
    });
    section("through the commit, the request isn't sent again", [&] {
        slowDown(300);
        auto pending = sendLater("frozen-commit", 1000);
        ASSERT_TRUE(runs("frozen-commit"));
        deployment.node("owner0").signal(SIGSTOP);
        deployment.node("owner1").signal(SIGSTOP);
        const Told told = pending.get();
        EXPECT_EQ(told.outcome, "unknown");
        deployment.node("owner0").signal(SIGCONT);
        deployment.node("owner1").signal(SIGCONT);
        EXPECT_EQ(send("after-second-thaw").outcome, "answered");
        expectTruthful(told);
    });
}

TEST_F(AtMostOnce, IngressFrozenUntilItsCallerGaveUp)
{
    start(1);
    // The owning node's consent is held until the ingress node is frozen, so that it can't commit before.
    deployment.relay("owner0", R"({"mode":"hold","direction":"to-target"})");
    auto pending = sendLater("late-commit", 700);
    ASSERT_TRUE(eventually([&] { return admitted("owner0", "backend0") == 1; }));
    deployment.node("ingress").signal(SIGSTOP);
    deployment.relay("owner0", R"({"mode":"pass"})");
    std::this_thread::sleep_for(std::chrono::milliseconds(900)); // The deadline passes while the ingress node is frozen.
    deployment.node("ingress").signal(SIGCONT);
    const Told told = pending.get();
    EXPECT_NE(told.outcome, "answered");
    EXPECT_EQ(send("after").outcome, "answered");
    EXPECT_EQ(runsOf("late-commit"), 0);
    expectTruthful(told);
}

TEST_F(AtMostOnce, CommitThatComesTooLate)
{
    start(1);
    section("to an owning node that was frozen until the deadline had passed", [&] {
        deployment.relay("owner0", R"({"delay_ms":100})");
        auto pending = sendLater("late-thaw", 700);
        ASSERT_TRUE(eventually([&] { return admitted("owner0", "backend0") == 1; }));
        deployment.node("owner0").signal(SIGSTOP);
        const Told told = pending.get();
        EXPECT_EQ(told.outcome, "unknown");
        std::this_thread::sleep_for(std::chrono::milliseconds(400)); // The owning node counts from when the head came.
        deployment.node("owner0").signal(SIGCONT);
        deployment.relay("owner0", R"({"delay_ms":0})");
        EXPECT_EQ(send("after-late-thaw").outcome, "answered");
        EXPECT_EQ(runsOf("late-thaw"), 0);
    });
    section("over a link that became slow", [&] {
        deployment.relay("owner0", R"({"delay_ms":100})");
        auto pending = sendLater("late-link", 700);
        ASSERT_TRUE(eventually([&] { return admitted("owner0", "backend0") == 3; }));
        deployment.relay("owner0", R"({"delay_ms":1500})");
        const Told told = pending.get();
        EXPECT_EQ(told.outcome, "unknown");
        std::this_thread::sleep_for(std::chrono::milliseconds(1800)); // The commit arrives meanwhile.
        deployment.relay("owner0", R"({"delay_ms":0,"mode":"cut"})");
        EXPECT_EQ(send("after-late-link").outcome, "answered");
        EXPECT_EQ(runsOf("late-link"), 0);
    });
}

TEST_F(AtMostOnce, HopConnectionLost)
{
    start(2);
    ASSERT_EQ(send("warm-0").outcome, "answered");
    ASSERT_EQ(send("warm-1").outcome, "answered");
    for (const std::string mode : {"cut", "silence"}) {
        section(mode + " before the commit: the request runs, once", [&] {
            for (const auto *owner : {"owner0", "owner1"}) {
                deployment.relay(owner, R"({"mode":")" + mode + R"("})");
            }
            for (int i = 0; i < 3; ++i) {
                const Told told = send(mode + "-before-" + std::to_string(i));
                EXPECT_EQ(told.outcome, "answered") << told.reason;
                expectTruthful(told);
            }
        });
        section(mode + " after the commit: its outcome is unknown and it isn't repeated", [&] {
            slowDown(400);
            const std::string id = mode + "-after";
            auto pending = sendLater(id, 1200);
            ASSERT_TRUE(runs(id));
            for (const auto *owner : {"owner0", "owner1"}) {
                deployment.relay(owner, R"({"mode":")" + mode + R"("})");
            }
            const Told told = pending.get();
            EXPECT_EQ(told.outcome, "unknown");
            expectTruthful(told);
            slowDown(1);
        });
    }
    section("a link that passes bytes one way only", [&] {
        for (const std::string direction : {"to-target", "from-target"}) {
            for (const auto *owner : {"owner0", "owner1"}) {
                deployment.relay(owner, R"({"mode":"one-way","direction":")" + direction + R"("})");
            }
            const Told told = send("one-way-" + direction, 1500);
            EXPECT_EQ(told.outcome, "not-run") << told.reason;
            for (const auto *owner : {"owner0", "owner1"}) {
                deployment.relay(owner, R"({"mode":"cut"})");
            }
            EXPECT_EQ(send("after-one-way-" + direction).outcome, "answered");
            expectTruthful(told);
        }
    });
}

TEST_F(AtMostOnce, SilentPooledConnectionsAreNoAttempt)
{
    start(1);
    std::vector<std::future<Told>> warm;
    warm.reserve(8);
    for (int i = 0; i < 8; ++i) {
        warm.push_back(sendLater("warm-" + std::to_string(i)));
    }
    for (auto &each : warm) {
        EXPECT_EQ(each.get().outcome, "answered");
    }
    deployment.relay("owner0", R"({"mode":"silence"})");
    for (int i = 0; i < 8; ++i) {
        const TimePoint asked = Clock::now();
        const Told told = send("after-silence-" + std::to_string(i));
        EXPECT_EQ(told.outcome, "answered") << told.reason;
        EXPECT_LT(Clock::now() - asked, std::chrono::milliseconds(150 + 250)); // One offer over a silent connection, and a fresh connection.
        expectTruthful(told);
    }
}

TEST_F(AtMostOnce, BackendServerKilledWhileItRuns)
{
    start(1);
    slowDown(20'000);
    auto pending = sendLater("backend-killed", 3000);
    ASSERT_TRUE(runs("backend-killed"));
    addBackend("spare", "owner0");
    endBackend("backend0");
    const Told told = pending.get();
    EXPECT_EQ(told.outcome, "unknown");
    section("its request isn't given to another one", [&] {
        ASSERT_TRUE(eventually([&] { return send("spare-runs").outcome == "answered"; }));
        EXPECT_EQ(runsOf("backend-killed"), 0);
    });
}

TEST_F(AtMostOnce, OwnerRestartedAtTheSameAddress)
{
    start(1);
    ASSERT_EQ(send("before").outcome, "answered");
    const auto view = deployment.dump("ingress");
    deployment.storeFaults(R"({"down":true})");
    deployment.kill("owner0");
    deployment.startNode({"owner0", "sv-uppsala", "svealand", true});
    const Told told = send("to-former-life");
    EXPECT_EQ(told.outcome, "not-run");
    EXPECT_EQ(told.reason, "wrong-incarnation");
    expectTruthful(told);
}

} // namespace agatedoor::test
