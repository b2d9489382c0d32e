#include "agatedoor/membership/member.hpp"
#include "agatedoor/release/release.hpp"
#include "agatedoor/state/bundle.hpp"
#include "agatedoor/state/settings.hpp"
#include "support/mutate.hpp"
#include "support/story.hpp"

namespace agatedoor::test {

namespace {

constexpr std::uint64_t seed = 20251204;
constexpr int rounds = 4000;

std::string exampleBundle()
{
    return readTextFile(std::string(AGATEDOOR_SOURCE_DIR) + "/examples/deployments/liwanag.toml").value();
}

const std::string settingsText = R"(node = "node1"
zone = "cebu-a"
region = "visayas"
callers = "10.0.0.1:8080"
peers = "10.0.0.1:8081"
gossip = "10.0.0.1:8082"
backends = "127.0.0.1:8083"
admin = "10.0.0.1:8084"
stores = ["10.0.1.1:2379", "10.0.1.2:2379"]
threads = 2
log_level = "info"
)";

MemberRecord exampleMember()
{
    MemberRecord member;
    member.node = {"node1"};
    member.incarnation = {7};
    member.zone = {"cebu-a"};
    member.region = {"visayas"};
    member.peers = {"10.0.0.1", 8081};
    member.backends.push_back({{"backend1"}, {"catalogue"}, {9}, {220}, BackendStatus::Serving});
    return member;
}

/// Calls @p check with randomly damaged copies of @p bytes.
template <typename Check>
void forEachDamaged(const std::string &bytes, Check check)
{
    Random random{seed};
    for (int round = 0; round < rounds; ++round) {
        check(mutated(bytes, random));
    }
}

} // namespace

TEST(ExternalInput, DamagedInputIsDecodedCorrectlyOrRefused)
{
    section("bundle text: an accepted bundle is complete, and an error names the allowed values", [] {
        forEachDamaged(exampleBundle(), [](const std::string &text) {
            const auto bundle = parseBundle(text, "bundle");
            if (bundle) {
                EXPECT_FALSE(bundle.value().services.empty());
                EXPECT_FALSE(bundle.value().routes.empty());
            } else {
                EXPECT_FALSE(bundle.error().allowed.empty()) << toText(bundle.error()) << "\n" << text;
            }
        });
    });
    section("settings text: an error names the allowed values", [] {
        forEachDamaged(settingsText, [](const std::string &text) {
            const auto settings = parseSettings(text, "settings");
            if (settings) {
                EXPECT_FALSE(settings.value().stores.empty());
            } else {
                EXPECT_FALSE(settings.error().allowed.empty()) << toText(settings.error()) << "\n" << text;
            }
        });
    });
    section("head record: it never decodes to another generation, bundle or operation", [] {
        const HeadRecord head{{41}, digestOf("text"), {"op-1"}, "astrid"};
        forEachDamaged(encodeHead(head), [&head](const std::string &bytes) {
            const auto decoded = decodeHead(bytes);
            EXPECT_TRUE(!decoded || *decoded == head);
        });
    });
    section("operation record: an abandoned operation never decodes as a landed one", [] {
        forEachDamaged(encodeAbandonedOperation({"op-1"}), [](const std::string &bytes) {
            const auto decoded = decodeOperation(bytes);
            EXPECT_TRUE(!decoded || !decoded->landed);
        });
    });
    section("signed-off bundle: a matching digest never comes with a different text", [] {
        const std::string text = exampleBundle();
        forEachDamaged(encodeSignedBundle({digestOf(text), {"op-1"}, "astrid", text}), [&text](const std::string &bytes) {
            const auto decoded = decodeSignedBundle(bytes);
            if (decoded && decoded->digest == digestOf(text) && digestOf(decoded->text) == decoded->digest) {
                EXPECT_EQ(decoded->text, text);
            }
        });
    });
    section("member record: a backend server with numbers out of range is left out, the others stay", [] {
        MemberRecord member = exampleMember();
        member.backends.push_back({{"odd"}, {"catalogue"}, {std::numeric_limits<std::int64_t>::max()}, {220}, BackendStatus::Serving});
        member.backends.push_back({{"none"}, {"catalogue"}, {0}, {220}, BackendStatus::Serving});
        const auto decoded = decodeMember(encodeMember(member));
        ASSERT_TRUE(decoded);
        ASSERT_EQ(decoded->backends.size(), 1U);
        EXPECT_EQ(decoded->backends.front().backend.value, "backend1");
    });
    section("member record: a decoded record names a node", [] {
        forEachDamaged(encodeMember(exampleMember()), [](const std::string &bytes) {
            const auto decoded = decodeMember(bytes);
            if (decoded) {
                EXPECT_FALSE(decoded->node.value.empty());
            }
        });
    });
}

} // namespace agatedoor::test
