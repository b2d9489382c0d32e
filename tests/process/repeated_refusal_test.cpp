#include "support/deployment.hpp"
#include "support/raw_backend.hpp"
#include "support/raw_connection.hpp"
#include "support/story.hpp"

#include <atomic>
#include <thread>

namespace agatedoor::test {

/// Guards against a refusal that a backend server writes once more, late, where answers don't name their request: the next caller would
/// be told that its request didn't run.
TEST(RepeatedRefusals, AreNotReadAsTheAnswerToTheNextRequest)
{
    Deployment deployment;
    deployment.startStore();
    deployment.rollOut("examples/deployments/statens_takstolsverk.toml");
    deployment.startNode({"owner", "sv-uppsala", "svealand"});
    std::atomic<int> refusals{0};
    std::string refusal = "HTTP/1.1 503 Busy\r\nAgatedoor-Outcome: not-run\r\nContent-Length: 0\r\n\r\n";
    std::string served = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    const Endpoint address{deployment.net() + ".78", 9100};
    const RawBackend backend(address, [&](std::size_t part) -> std::string {
        if (part == 0) {
            return refusals == 0 ? refusal : served;
        }
        if (part == 1 && ++refusals == 1) {
            std::this_thread::sleep_for(std::chrono::milliseconds(400)); // The next request is sent meanwhile.
            return refusal;
        }
        return "";
    });
    const std::string body = R"({"service":"besiktning","address":")" + toText(address) + R"(","slots":4,"connections":64})";
    ASSERT_EQ(ask(deployment.backendsOf("owner"), {"PUT", "/v1/backends/faulty", {}, body}).status, 200);
    deployment.waitUntilReady(1);
    // One connection, so that one request thread with its connections to the backend server takes both.
    const RawConnection caller(deployment.callers("owner"));
    const std::string head = "POST /besiktning HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n";
    section("a refused request is answered as not run", [&] {
        caller.send(head + "ab");
        EXPECT_EQ(caller.receive("}").substr(0, 12), "HTTP/1.1 503");
    });
    section("the next one gets its own answer", [&] {
        caller.send(head + "cd");
        EXPECT_EQ(caller.receive("whole").substr(0, 12), "HTTP/1.1 200");
    });
}

} // namespace agatedoor::test
