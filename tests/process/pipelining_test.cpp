#include "agatedoor/base/random.hpp"
#include "support/deployment.hpp"
#include "support/golden.hpp"
#include "support/raw_connection.hpp"
#include "support/story.hpp"

#include <csignal>
#include <fstream>
#include <map>
#include <sstream>
#include <thread>

namespace agatedoor::test {

namespace {

namespace json = boost::json;

constexpr const char *bundle = "examples/deployments/statens_takstolsverk.toml";
constexpr int quickUs = 1000;
constexpr int slowUs = 300'000;
constexpr const char *closes = "Connection: close\r\n";

std::string lookup(const std::string &id, const std::string &fields = "", const std::string &target = "/ritarkiv")
{
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\nAgatedoor-Request-Id: " + id + "\r\n" + fields + "\r\n";
}

std::string signOff(const std::string &id, const std::string &fields = "", const std::string &body = "")
{
    return "POST /besiktning HTTP/1.1\r\nHost: a\r\nAgatedoor-Request-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields
        + "\r\n" + body;
}

/// One response as it came over the connection.
struct Response
{
    int status = 0;
    std::string id;
    bool closes = false;
    std::string body;
};

std::string fieldIn(const std::string &head, const std::string &name)
{
    const auto start = head.find("\r\n" + name + ": ");
    if (start == std::string::npos) {
        return {};
    }
    const auto value = start + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

/// Whole responses in @p text; fails the test when anything else is in it.
std::vector<Response> responsesIn(const std::string &text)
{
    std::vector<Response> responses;
    std::size_t at = 0;
    while (at < text.size()) {
        const auto end = text.find("\r\n\r\n", at);
        if (end == std::string::npos || text.compare(at, 9, "HTTP/1.1 ") != 0) {
            ADD_FAILURE() << "no response: " << text.substr(at);
            return responses;
        }
        const std::string head = text.substr(at, end + 2 - at);
        const std::string length = fieldIn(head, "Content-Length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        EXPECT_LE(end + 4 + size, text.size()) << "an incomplete response";
        responses.push_back(
            {std::stoi(head.substr(9, 3)), fieldIn(head, "Agatedoor-Request-Id"), fieldIn(head, "Connection") == "close", text.substr(end + 4, size)});
        at = end + 4 + size;
    }
    return responses;
}

std::vector<std::string> idsOf(const std::vector<Response> &responses)
{
    std::vector<std::string> ids;
    ids.reserve(responses.size());
    for (const auto &response : responses) {
        ids.push_back(response.id);
    }
    return ids;
}

/// What comes until the node closes the connection.
std::vector<Response> receiveAll(const RawConnection &connection)
{
    return responsesIn(connection.receive("never sent"));
}

/// A node to which callers connect and one that owns two backend servers: one for lookups, one for sign-offs.
class Pipelines : public ::testing::Test
{
protected:
    void SetUp() override
    {
        runLog = ::testing::TempDir() + "/pipelining_runs_" + std::to_string(::getpid());
        deployment.startStore();
        deployment.rollOut(bundle);
        deployment.startNode({"ingress", "sv-uppsala", "svealand"});
        deployment.startNode({"owner", "sv-uppsala", "svealand"});
        deployment.startBackend({"drawings", "owner", "ritarkiv", 12, 64, quickUs, 0, {}, 0, runLog});
        deployment.startBackend({"orders", "owner", "bestallning", 12, 64, quickUs, 0, {}, 0, runLog});
        deployment.startBackend({"inspections", "owner", "besiktning", 12, 64, quickUs, 0, {}, 0, runLog});
        deployment.waitUntilReady(3);
    }
    void TearDown() override { std::remove(runLog.c_str()); }

    void slowDown(const std::string &backend) const { deployment.behave(backend, R"({"service_us":)" + std::to_string(slowUs) + "}"); }
    void speedUp(const std::string &backend) const { deployment.behave(backend, R"({"service_us":)" + std::to_string(quickUs) + "}"); }
    bool ran(const std::string &backend, const std::string &id) const { return deployment.runs(backend).contains(id); }
    std::int64_t counted(const std::string &backend, const std::string &figure) const
    {
        const auto reply = ask(deployment.backendAddress(backend), {"GET", "/stand-in/runs", {}, {}});
        return json::parse(reply.body).as_object().at(figure).to_number<std::int64_t>();
    }
    Endpoint callers() const { return deployment.callers("ingress"); }

    /// When each request started at its backend server.
    std::map<std::string, std::chrono::nanoseconds> starts() const
    {
        std::map<std::string, std::chrono::nanoseconds> result;
        std::ifstream lines(runLog);
        std::string word;
        std::string id;
        std::int64_t at = 0;
        while (lines >> word >> id >> at) {
            result[id] = std::chrono::nanoseconds(at);
        }
        return result;
    }

    Deployment deployment;
    std::string runLog;
};

} // namespace

TEST_F(Pipelines, LookupsRunSideBySideAndAreAnsweredInOrder)
{
    section("four lookups sent at once are all at the backend server before the first is answered", [&] {
        slowDown("drawings");
        const RawConnection connection(callers());
        connection.send(lookup("a") + lookup("b") + lookup("c") + lookup("d", closes));
        const auto responses = receiveAll(connection);
        EXPECT_EQ(idsOf(responses), (std::vector<std::string>{"a", "b", "c", "d"}));
        EXPECT_EQ(counted("drawings", "greatest_running"), 4);
        EXPECT_TRUE(responses.back().closes);
        EXPECT_FALSE(responses.front().closes);
    });
    section("a quick one waits for its turn, not for a slot", [&] {
        const RawConnection connection(callers());
        connection.send(lookup("slow") + lookup("quick", closes, "/bestallning"));
        EXPECT_TRUE(eventually([&] { return ran("orders", "quick"); }));
        EXPECT_EQ(idsOf(receiveAll(connection)), (std::vector<std::string>{"slow", "quick"}));
        EXPECT_LT(starts().at("quick") - starts().at("slow"), std::chrono::microseconds(slowUs));
    });
    section("and the node counts them", [&] {
        const json::object worker = deployment.dump("ingress").at("workers").as_array().at(0).as_object();
        EXPECT_GE(worker.at("pipelined_requests").to_number<std::int64_t>(), 1);
    });
}

TEST_F(Pipelines, ARequestThatIsNotIdempotentRunsAlone)
{
    slowDown("drawings");
    slowDown("inspections");
    const RawConnection connection(callers());
    connection.send(lookup("before") + signOff("sign-off", "", "signed") + lookup("behind", closes));
    const auto responses = receiveAll(connection);
    EXPECT_EQ(idsOf(responses), (std::vector<std::string>{"before", "sign-off", "behind"}));
    const auto started = starts();
    section("it starts only when the lookup before it is answered",
            [&] { EXPECT_GE(started.at("sign-off") - started.at("before"), std::chrono::microseconds(slowUs)); });
    section("the lookup behind it starts only when it is answered",
            [&] { EXPECT_GE(started.at("behind") - started.at("sign-off"), std::chrono::microseconds(slowUs)); });
}

TEST_F(Pipelines, NothingBehindAClosingResponseRuns)
{
    const RawConnection connection(callers());
    connection.send(lookup("last", closes) + signOff("unread") + lookup("unread-too"));
    EXPECT_EQ(idsOf(receiveAll(connection)), std::vector<std::string>{"last"});
    EXPECT_FALSE(ran("inspections", "unread"));
    EXPECT_FALSE(ran("drawings", "unread-too"));
}

TEST_F(Pipelines, ResponsesBeforeAMalformedRequestLeaveWhole)
{
    slowDown("drawings");
    const RawConnection connection(callers());
    connection.send(lookup("first") + lookup("second") + "no HTTP at all\r\n\r\n" + signOff("unread"));
    const auto responses = receiveAll(connection);
    ASSERT_EQ(responses.size(), 3U);
    EXPECT_EQ(responses[0].status, 200);
    EXPECT_EQ(responses[1].status, 200);
    EXPECT_EQ(responses[2].status, 400);
    EXPECT_TRUE(responses[2].closes);
    EXPECT_FALSE(ran("inspections", "unread"));
}

TEST_F(Pipelines, ACallerThatLeavesCancelsAllInProgress)
{
    slowDown("drawings");
    slowDown("inspections");
    const auto allIdle = [&] {
        const json::object owner = deployment.dump("owner");
        const auto running = owner.at("local_backends").as_object().at("drawings").as_object().at("running").to_number<std::int64_t>();
        return running == 0 && counted("drawings", "running") == 0 && counted("inspections", "running") == 0;
    };
    section("lookups side by side", [&] {
        RawConnection connection(callers());
        connection.send(lookup("a") + lookup("b") + lookup("c"));
        ASSERT_TRUE(eventually([&] { return counted("drawings", "running") == 3; }));
        connection.close();
        EXPECT_TRUE(eventually([&] { return counted("drawings", "cancelled") == 3; }));
        EXPECT_TRUE(eventually(allIdle));
    });
    section("a lookup with a sign-off sent behind it, which never runs", [&] {
        RawConnection connection(callers());
        connection.send(lookup("d") + signOff("never", "", "signed"));
        ASSERT_TRUE(eventually([&] { return counted("drawings", "running") == 1; }));
        connection.close();
        EXPECT_TRUE(eventually([&] { return counted("drawings", "cancelled") == 4; }));
        EXPECT_TRUE(eventually(allIdle));
        EXPECT_FALSE(ran("inspections", "never"));
    });
    section("a sign-off with a lookup sent behind it", [&] {
        RawConnection connection(callers());
        connection.send(signOff("left", "", "signed") + lookup("never-read"));
        ASSERT_TRUE(eventually([&] { return counted("inspections", "running") == 1; }));
        connection.close();
        EXPECT_TRUE(eventually([&] { return counted("inspections", "cancelled") == 1; }));
        EXPECT_FALSE(ran("drawings", "never-read"));
    });
    section("the next caller is served", [&] {
        speedUp("drawings");
        EXPECT_EQ(ask(callers(), {"GET", "/ritarkiv", {}, {}}).status, 200);
    });
}

TEST_F(Pipelines, AStopAnswersAllThatWasTakenAndClosesWithTheLast)
{
    slowDown("drawings");
    const RawConnection connection(callers());
    connection.send(lookup("a") + lookup("b") + lookup("c"));
    ASSERT_TRUE(eventually([&] { return counted("drawings", "running") == 3; }));
    deployment.node("ingress").signal(SIGTERM);
    const auto responses = receiveAll(connection);
    ASSERT_EQ(idsOf(responses), (std::vector<std::string>{"a", "b", "c"}));
    for (const auto &response : responses) {
        EXPECT_EQ(response.status, 200);
    }
    EXPECT_FALSE(responses[0].closes);
    EXPECT_FALSE(responses[1].closes);
    EXPECT_TRUE(responses[2].closes);
}

TEST_F(Pipelines, AKilledOwnerLeavesNoRequestWithoutAnAnswer)
{
    slowDown("drawings");
    const RawConnection connection(callers());
    connection.send(lookup("a", "Agatedoor-Timeout-Us: 1000000\r\n") + lookup("b", "Agatedoor-Timeout-Us: 1000000\r\n")
                    + lookup("c", "Agatedoor-Timeout-Us: 1000000\r\nConnection: close\r\n"));
    ASSERT_TRUE(eventually([&] { return counted("drawings", "running") == 3; }));
    deployment.kill("owner");
    const auto responses = receiveAll(connection);
    EXPECT_EQ(idsOf(responses), (std::vector<std::string>{"a", "b", "c"}));
    for (const auto &response : responses) {
        EXPECT_NE(response.status, 200);
    }
}

TEST_F(Pipelines, ManyRequestsAtOnceAreAllAnswered)
{
    section("more than the node takes at a time, and more than it reads ahead", [&] {
        constexpr int count = 2000;
        const RawConnection connection(callers());
        std::string bytes;
        std::vector<std::string> ids;
        for (int i = 0; i < count; ++i) {
            ids.push_back("many-" + std::to_string(i));
            bytes += lookup(ids.back(), i + 1 == count ? closes : "");
        }
        std::thread sender([&] { connection.send(bytes); });
        EXPECT_EQ(idsOf(receiveAll(connection)), ids);
        sender.join();
        EXPECT_LE(counted("drawings", "greatest_running"), 12);
    });
}

TEST_F(Pipelines, ASessionReadsTheSameWhereverItsBytesAreCut)
{
    const auto session = [](const std::string &prefix) {
        return lookup(prefix + "1") + signOff(prefix + "2", "", "signed") + lookup(prefix + "3", "", "/nowhere")
            + "POST /besiktning HTTP/1.1\r\nHost: a\r\nAgatedoor-Request-Id: " + prefix + "4\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
            + lookup(prefix + "5") + lookup(prefix + "6", closes);
    };
    const std::string prefix = "s";
    std::string golden;
    const std::string bytes = session(prefix);
    for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
        SCOPED_TRACE("cut at " + std::to_string(cut));
        const RawConnection connection(callers());
        connection.send(bytes.substr(0, cut));
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
        connection.send(bytes.substr(cut));
        std::string transcript;
        for (const auto &response : receiveAll(connection)) {
            transcript += std::to_string(response.status) + " " + response.id + (response.closes ? " closes " : " ") + response.body + "\n";
        }
        golden = golden.empty() ? transcript : golden;
        ASSERT_EQ(transcript, golden);
    }
    expectGolden("pipelined_session.txt", golden);
}

TEST_F(Pipelines, RandomSequencesAreAnsweredAsIfSentOneByOne)
{
    constexpr int sequences = 150;
    for (std::uint64_t seed = 1; seed <= sequences; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Random random{seed};
        const std::size_t count = 1 + uniformIndex(random, 8);
        const std::size_t closing = uniformIndex(random, count);
        std::vector<std::string> expected;
        std::vector<std::string> signOffs;
        std::string bytes;
        for (std::size_t i = 0; i < count; ++i) {
            const std::string id = std::to_string(seed) + "-" + std::to_string(i);
            const std::string fields = i == closing ? closes : "";
            const std::size_t kind = uniformIndex(random, 4);
            const bool isSignOff = kind == 0;
            bytes += isSignOff ? signOff(id, fields, std::string(uniformIndex(random, 20), 'x')) : lookup(id, fields, kind == 1 ? "/nowhere" : "/ritarkiv");
            if (isSignOff) {
                signOffs.push_back(id);
            }
            if (i <= closing) {
                expected.push_back(id);
            }
        }
        deployment.behave("drawings", R"({"service_us":)" + std::to_string(uniformIndex(random, 4000)) + "}");
        const RawConnection connection(callers());
        connection.send(bytes);
        EXPECT_EQ(idsOf(receiveAll(connection)), expected);
        const json::object runs = deployment.runs("inspections");
        for (const auto &id : signOffs) {
            const bool read = std::find(expected.begin(), expected.end(), id) != expected.end();
            EXPECT_EQ(runs.contains(id) ? runs.at(id).to_number<std::int64_t>() : 0, read ? 1 : 0) << id;
        }
    }
}

} // namespace agatedoor::test
