#include "support/deployment.hpp"
#include "support/raw_backend.hpp"
#include "support/story.hpp"

namespace agatedoor::test {

namespace {

/// An answer that ends before it is complete, in one of the ways that HTTP/1.1 marks the end of a body.
struct BrokenAnswer
{
    std::string name;
    std::string bytes;
    ConnectionEnd end = ConnectionEnd::Close;
};

std::vector<BrokenAnswer> brokenAnswers()
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        {.name = "inside the status line", .bytes = "HTTP/1.1 20"},
        {.name = "after the status line", .bytes = ok},
        {.name = "after a whole header field", .bytes = ok + "Content-Type: text/plain\r\n"},
        {.name = "after the field that states its length", .bytes = ok + "Content-Length: 0\r\n"},
        {.name = "inside the end of the header", .bytes = ok + "Content-Length: 0\r\n\r"},
        {.name = "inside the header", .bytes = ok + "Content-Len"},
        {.name = "before a body of a stated length", .bytes = ok + "Content-Length: 10\r\n\r\n"},
        {.name = "inside a body of a stated length", .bytes = ok + "Content-Length: 10\r\n\r\nhalf."},
        {.name = "inside a chunk", .bytes = chunked + "a\r\nhalf."},
        {.name = "between chunks", .bytes = chunked + "5\r\nwhole\r\n"},
        {.name = "inside the last chunk", .bytes = chunked + "5\r\nwhole\r\n0\r\n"},
        {.name = "by a reset of a body that lasts until the close", .bytes = ok + "Connection: close\r\n\r\nhalf.", .end = ConnectionEnd::Reset},
    };
}

} // namespace

/// Two nodes; callers connect to the first, the second owns the backend server.
TEST(BrokenAnswers, NeverLookComplete)
{
    Deployment deployment;
    deployment.startStore();
    deployment.rollOut("examples/deployments/statens_takstolsverk.toml");
    deployment.startNode({"ingress", "sv-uppsala", "svealand"});
    deployment.startNode({"owner", "sv-uppsala", "svealand"});
    const Endpoint address{deployment.net() + ".77", 9100};
    const std::string body = R"({"service":"ritarkiv","address":")" + toText(address) + R"(","slots":4,"connections":64})";
    int number = 0;
    for (const auto &broken : brokenAnswers()) {
        section("an answer that breaks off " + broken.name, [&] {
            const std::string name = "broken" + std::to_string(number++);
            RawBackend backend(
                address, [&](std::size_t part) { return part == 0 ? broken.bytes : std::string(); }, broken.end);
            ASSERT_EQ(ask(deployment.backendsOf("owner"), {"PUT", "/v1/backends/" + name, {}, body}).status, 200);
            deployment.waitUntilReady(1);
            for (const std::string node : {"ingress", "owner"}) {
                const auto reply = ask(deployment.callers(node), {"GET", "/ritarkiv", {{"Agatedoor-Timeout-Us", "1000000"}}, {}});
                EXPECT_TRUE(reply.status == 502 || reply.status == 504) << node << ": " << reply.status << reply.body;
                EXPECT_NE(fieldOf(reply.fields, "Agatedoor-Outcome"), "answered");
            }
            ask(deployment.backendsOf("owner"), {"DELETE", "/v1/backends/" + name, {}, {}});
            deployment.waitUntilReady(0);
        });
    }
}

} // namespace agatedoor::test
