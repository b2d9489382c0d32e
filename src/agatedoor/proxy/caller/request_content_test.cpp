#include "request_content.hpp"

#include "support/story.hpp"

namespace agatedoor::test {

namespace {

StringRequest lookUp(const std::string &id)
{
    StringRequest request{http::verb::get, "/drawing?page=1", 11};
    request.set("Host", "a.example");
    request.set("Authorization", "Bearer crew-7");
    request.set("Agatedoor-Request-Id", id);
    request.set("Agatedoor-Timeout-Us", "900000");
    request.set("traceparent", "00-" + id);
    request.body() = "body";
    return request;
}

ContentDigest contentOf(const StringRequest &request)
{
    return agatedoor::contentOf(request, contentHeadOf(request, EdgeHeaders{}));
}

} // namespace

TEST(RequestContent, IsTheSameWheneverTheRequestIsSent)
{
    const ContentDigest content = contentOf(lookUp("1"));
    section("under another id, with less time left, by another connection", [&] {
        StringRequest again = lookUp("2");
        again.set("Agatedoor-Timeout-Us", "100");
        again.set("Connection", "close");
        again.set("Date", "today");
        EXPECT_EQ(contentOf(again), content);
    });
    section("with its fields in another order and case", [&] {
        StringRequest again{http::verb::get, "/drawing?page=1", 11};
        again.set("authorization", "Bearer crew-7");
        again.set("HOST", "a.example");
        again.body() = "body";
        EXPECT_EQ(contentOf(again), content);
    });
    section("it begins with the hash of the head", [&] { EXPECT_TRUE(content.value.starts_with(contentHeadOf(lookUp("3"), EdgeHeaders{}))); });
}

/// Guards against one customer who gets another's requests refused.
TEST(RequestContent, DiffersWithWhatIsAskedAndOfWhom)
{
    const ContentDigest content = contentOf(lookUp("1"));
    const auto changed = [&](const std::function<void(StringRequest &)> &change) {
        StringRequest request = lookUp("1");
        change(request);
        return contentOf(request) != content;
    };
    EXPECT_TRUE(changed([](auto &request) { request.target("/drawing?page=2"); }));
    EXPECT_TRUE(changed([](auto &request) { request.method(http::verb::head); }));
    EXPECT_TRUE(changed([](auto &request) { request.body() = "bodY"; }));
    EXPECT_TRUE(changed([](auto &request) { request.set("Authorization", "Bearer crew-8"); }));
    EXPECT_TRUE(changed([](auto &request) { request.set("Host", "b.example"); }));
    section("a secret isn't in it", [&] { EXPECT_EQ(content.value.find("crew"), std::string::npos); });
}

} // namespace agatedoor::test
