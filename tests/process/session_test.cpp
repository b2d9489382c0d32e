#include "support/deployment.hpp"
#include "support/golden.hpp"
#include "support/story.hpp"

#include <array>
#include <csignal>
#include <sstream>

namespace agatedoor::test {

namespace {

namespace json = boost::json;

/// Fields of log lines that differ from run to run.
constexpr std::array volatileFields{"time", "bundle_age_ms", "body_us", "took_us", "behind_us", "incarnation", "from"};

std::string scrubbedLog(const std::string &log)
{
    std::istringstream lines(log);
    std::string line;
    std::string result;
    while (std::getline(lines, line)) {
        json::object object = json::parse(line).as_object();
        for (const auto *field : volatileFields) {
            object.stable_erase(field);
        }
        if (object.at("event") == "head-read") { // The contact key may be written before or after.
            object.stable_erase("revision");
        }
        result += json::serialize(object) + "\n";
    }
    return result;
}

std::string rendered(const HttpReply &reply)
{
    std::string text = std::to_string(reply.status);
    for (const auto *name : {"Agatedoor-Outcome", "Agatedoor-Reason", "Agatedoor-Bundle", "Agatedoor-Request-Id"}) {
        const auto value = fieldOf(reply.fields, name);
        if (!value.empty()) {
            text += std::string(" ") + name + "=" + std::string(value);
        }
    }
    return text + "\n" + reply.body + "\n";
}

/// Writes down what is done and what comes back.
class Transcript
{
public:
    explicit Transcript(const Deployment &deployment)
        : m_deployment(deployment)
    {
    }
    void add(const std::string &title, const std::string &text) { m_text += "== " + title + "\n" + m_deployment.scrubbed(text); }
    const std::string &text() const { return m_text; }

private:
    const Deployment &m_deployment;
    std::string m_text;
};

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++count;
    }
    return count;
}

/// Lines are written off the threads that cause them; the session's next step waits for them.
void expectLogged(Deployment &deployment, const std::string &event, std::size_t count)
{
    const std::string part = R"("event":")" + event + "\"";
    ASSERT_TRUE(eventually([&] { return countOf(deployment.node("node1").output(), part) >= count; })) << event;
}

std::string bundleFile()
{
    return std::string(AGATEDOOR_SOURCE_DIR) + "/examples/deployments/statens_takstolsverk.toml";
}

} // namespace

TEST(ProcessSession, SignOffToStop)
{
    Deployment deployment;
    Transcript transcript(deployment);
    std::string digest;
    deployment.startStore();
    deployment.startNode({"node1", "sv-uppsala", "svealand"});
    expectLogged(deployment, "head-watch", 1);
    expectLogged(deployment, "head-read", 1);
    const HttpRequest lookup{"GET", "/ritarkiv/drawing/7", {{"Agatedoor-Request-Id", "lookup-7"}}, {}};
    const HttpRequest signOffRequest{"POST", "/besiktning/sign-off", {{"Agatedoor-Request-Id", "sign-off-1"}}, "approved"};

    section("before a bundle is rolled out, a request is refused as not run",
            [&] { transcript.add("request without a bundle", rendered(ask(deployment.callers("node1"), lookup))); });
    expectLogged(deployment, "request", 1);
    section("an operator signs a bundle off and rolls it out", [&] {
        const auto signedOff
            = runCommand({"agatectl", "sign-off", "--store", deployment.storeAddress(), "--operator", "astrid", "--operation", "op-1", "--json", bundleFile()});
        transcript.add("sign-off", signedOff.output);
        digest = std::string(json::parse(signedOff.output).as_object().at("digest").as_string());
        const auto rolledOut
            = runCommand({"agatectl", "roll-out", "--store", deployment.storeAddress(), "--operator", "astrid", "--operation", "op-2", digest});
        transcript.add("roll-out", rolledOut.output);
        ASSERT_TRUE(eventually([&] { return ask(deployment.admin("node1"), {"GET", "/ready", {}, {}}).status == 200; }));
        expectLogged(deployment, "bundle-in-force", 1);
        transcript.add("status", runCommand({"agatectl", "status", "--store", deployment.storeAddress()}).output);
    });
    section("a service without a backend server is refused as not run",
            [&] { transcript.add("request without a backend server", rendered(ask(deployment.callers("node1"), lookup))); });
    expectLogged(deployment, "request", 2);
    section("backend servers announce themselves and serve", [&] {
        deployment.startBackend({"drawings", "node1", "ritarkiv"});
        ASSERT_TRUE(eventually([&] { return ask(deployment.backendsOf("node1"), {"GET", "/v1/backends/drawings", {}, {}}).status == 200; }));
        expectLogged(deployment, "announce", 1);
        deployment.startBackend({"inspections", "node1", "besiktning"});
        deployment.waitUntilReady(2);
        expectLogged(deployment, "announce", 2);
        transcript.add("lookup", rendered(ask(deployment.callers("node1"), lookup)));
        expectLogged(deployment, "request", 3);
        transcript.add("non-idempotent request", rendered(ask(deployment.callers("node1"), signOffRequest)));
        expectLogged(deployment, "request", 4);
        transcript.add("unknown route", rendered(ask(deployment.callers("node1"), {"GET", "/nowhere", {{"Agatedoor-Request-Id", "lost-1"}}, {}})));
        expectLogged(deployment, "request", 5);
    });
    section("a backend server drains and gets no new work", [&] {
        deployment.backend("drawings").signal(SIGTERM);
        EXPECT_EQ(deployment.backend("drawings").waitForExit(std::chrono::seconds(10)), 0);
        deployment.waitUntilReady(1);
        transcript.add("request after the drain", rendered(ask(deployment.callers("node1"), lookup)));
        expectLogged(deployment, "request", 6);
    });
    section("the node stops without cutting anything", [&] {
        ASSERT_TRUE(eventually([&] { return deployment.dump("node1").at("in_flight") == 0; }));
        deployment.node("node1").signal(SIGTERM);
        EXPECT_EQ(deployment.node("node1").waitForExit(std::chrono::seconds(10)), 0);
        transcript.add("log of node1", scrubbedLog(deployment.node("node1").output()));
    });
    expectGolden("sign_off_to_stop.txt", transcript.text());
}

} // namespace agatedoor::test
