#include "support/deployment.hpp"
#include "support/story.hpp"

namespace agatedoor::test {

namespace {

/// An announcement that names no backend server to use.
struct OddAnnouncement
{
    std::string name;
    std::string body;
};

std::string announcementWith(const std::string &fields, const std::string &port = "9000")
{
    return R"({"service":"ritarkiv","address":"127.0.0.1:)" + port + "\"," + fields + "}";
}

std::vector<OddAnnouncement> oddAnnouncements()
{
    constexpr std::size_t depth = 50'000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    return {
        {"very deeply nested", nested},
        {"with a deeply nested field", announcementWith(R"("slots":4,"extra":)" + nested)},
        {"with more slots than any number type holds", announcementWith(R"("slots":1e300)")},
        {"with more slots than any backend server has", announcementWith(R"("slots":9223372036854775807)")},
        {"with more connections than any backend server has", announcementWith(R"("slots":4,"connections":9223372036854775807)")},
        {"with no slots", announcementWith(R"("slots":0)")},
        {"with a start time that no integer holds", announcementWith(R"("slots":4,"born":1e30)")},
        {"with a start time that is no number", announcementWith(R"("slots":4,"born":"now")")},
        {"with a start time before the epoch", announcementWith(R"("slots":4,"born":-5)")},
        {"with a sequence that is no number", announcementWith(R"("slots":4,"born":5,"sequence":[])")},
        {"with a port out of range", announcementWith(R"("slots":4)", "70000")},
        {"with a port that no integer holds", announcementWith(R"("slots":4)", "99999999999999999999")},
        {"of an unknown status", announcementWith(R"("slots":4,"status":"asleep")")},
        {"of bytes that can't be read", "\xff\xfe{\"slots\""},
    };
}

} // namespace

/// Guards against one odd entry that ends the nodes that read it, or stops them from following the others.
TEST(OddAnnouncements, NameNoBackendServerAndHarmNoOther)
{
    Deployment deployment;
    deployment.startStore();
    deployment.rollOut("examples/deployments/statens_takstolsverk.toml");
    deployment.startNode({"node1", "sv-uppsala", "svealand"});
    deployment.startNode({"node2", "sv-uppsala", "svealand"});
    deployment.startBackend({"drawings", "node1", "ritarkiv"});
    deployment.waitUntilReady(1);
    for (const auto &odd : oddAnnouncements()) {
        section("an announcement " + odd.name, [&] {
            EXPECT_EQ(ask(deployment.backendsOf("node1"), {"PUT", "/v1/backends/odd", {}, odd.body}).status, 400);
            EXPECT_EQ(ask(deployment.backendsOf("node1"), {"GET", "/v1/backends/odd", {}, {}}).status, 404);
            EXPECT_EQ(ask(deployment.callers("node2"), {"GET", "/ritarkiv", {}, {}}).status, 200);
        });
    }
    section("the nodes go on following announcements", [&] {
        deployment.startBackend({"more-drawings", "node1", "ritarkiv"});
        deployment.waitUntilReady(2);
    });
}

} // namespace agatedoor::test
