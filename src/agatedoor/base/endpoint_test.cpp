#include "agatedoor/base/endpoint.hpp"

#include "support/story.hpp"

namespace agatedoor {

TEST(Endpoint, IsAnIpAddressWithAPort)
{
    test::section("a valid text is parsed and formatted back unchanged", [] {
        for (const auto *text : {"127.0.0.1:8080", "[::1]:9"}) {
            const auto endpoint = parseEndpoint(text);
            ASSERT_TRUE(endpoint) << text;
            EXPECT_EQ(toText(endpoint.value()), text);
        }
    });
    test::section("an invalid text is rejected with a typed error", [] {
        EXPECT_EQ(parseEndpoint("127.0.0.1").error(), EndpointError::MissingPort);
        EXPECT_EQ(parseEndpoint("example.org:80").error(), EndpointError::BadAddress);
        EXPECT_EQ(parseEndpoint("127.0.0.1:0").error(), EndpointError::BadPort);
        EXPECT_EQ(parseEndpoint("127.0.0.1:99999").error(), EndpointError::BadPort);
        EXPECT_EQ(parseEndpoint("127.0.0.1:80x").error(), EndpointError::BadPort);
    });
}

} // namespace agatedoor
