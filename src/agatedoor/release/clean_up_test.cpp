#include "agatedoor/release/clean_up.hpp"

#include "agatedoor/state/bundle.hpp"
#include "support/fake_store.hpp"
#include "support/story.hpp"

namespace agatedoor::test {

namespace {

std::string contentText(int number)
{
    const std::string service = "service" + std::to_string(number);
    return "[[service]]\nname = \"" + service + "\"\n[[route]]\nmethod = \"GET\"\npath = \"/\"\nservice = \"" + service + "\"\nidempotent = true\n";
}

BundleDigest digestOfContent(int number)
{
    return digestOf(contentText(number));
}

void signOffAndRollOut(const Store &store, int content, const std::string &operation)
{
    const Operator who{"astrid", {operation}};
    ASSERT_TRUE(signOff(store, who, contentText(content), "bundle", {}));
    ASSERT_TRUE(rollOut(store, who, {digestOfContent(content), {}}, {}));
}

} // namespace

TEST(CleanUp, RemovesOnlyUnusedRecords)
{
    FakeStore fake;
    const Store store = fake.seam([](bool) { return Fault::None; });
    for (int number = 1; number <= 4; ++number) {
        signOffAndRollOut(store, number, "op" + std::to_string(number));
    }
    ASSERT_TRUE(signOff(store, {"astrid", {"op9"}}, contentText(9), "bundle", {}));
    section("signing off an old bundle again reports that it is already stored", [&] {
        const auto again = signOff(store, {"bayani", {"op8"}}, contentText(1), "bundle", {});
        ASSERT_TRUE(again);
        EXPECT_TRUE(again.value().alreadyStored);
    });
    const auto reply = cleanUp(store, 2, {});
    ASSERT_TRUE(reply);
    section("generations before the kept ones are removed", [&] {
        EXPECT_EQ(reply.value().generations, (std::vector<Generation>{{1}, {2}}));
        EXPECT_FALSE(fake.holds(generationKey({2})));
        EXPECT_TRUE(fake.holds(generationKey({3})));
    });
    section("the one bundle removed is neither used by a kept generation, nor signed off later, nor waiting for its first roll-out", [&] {
        EXPECT_EQ(reply.value().bundles, std::vector<BundleDigest>{digestOfContent(2)});
        for (const int kept : {1, 3, 4, 9}) {
            EXPECT_TRUE(fake.holds(bundleKey(digestOfContent(kept)))) << kept;
        }
    });
    section("operations can still be looked up", [&] {
        const auto found = findOperation(store, {"op2"}, {});
        ASSERT_TRUE(found && found.value() && found.value()->landed);
        EXPECT_EQ(found.value()->landed->generation.value, 2U);
    });
}

TEST(CleanUp, KeepsTheBundleOfTheHeadDuringRaces)
{
    section("a roll-out of an old bundle is committed between the read and the removal", [] {
        FakeStore fake;
        const Store direct = fake.seam([](bool) { return Fault::None; });
        for (int number = 1; number <= 3; ++number) {
            signOffAndRollOut(direct, number, "op" + std::to_string(number));
        }
        const Store interrupted = fake.seam([&](bool write) {
            if (write) {
                EXPECT_TRUE(rollOut(direct, {"bayani", {"back"}}, {digestOfContent(1), {}}, {}));
            }
            return Fault::None;
        });
        const auto reply = cleanUp(interrupted, 1, {});
        ASSERT_FALSE(reply);
        ASSERT_TRUE(std::holds_alternative<RollOutConflict>(reply.error()));
        EXPECT_EQ(std::get<RollOutConflict>(reply.error()).winner.operation.value, "back");
        EXPECT_TRUE(readSignedBundle(direct, digestOfContent(1), {}));
    });
    section("a clean-up removes the bundle between the check of a roll-out and its write", [] {
        FakeStore fake;
        const Store direct = fake.seam([](bool) { return Fault::None; });
        for (int number = 1; number <= 3; ++number) {
            signOffAndRollOut(direct, number, "op" + std::to_string(number));
        }
        const Store interrupted = fake.seam([&](bool write) {
            if (write) {
                EXPECT_TRUE(cleanUp(direct, 1, {}));
            }
            return Fault::None;
        });
        const auto reply = rollOut(interrupted, {"bayani", {"stale"}}, {digestOfContent(1), {}}, {});
        ASSERT_FALSE(reply);
        EXPECT_TRUE(std::holds_alternative<NotSignedOff>(reply.error()));
        EXPECT_EQ(fake.heads().back().operation.value, "op3");
    });
}

} // namespace agatedoor::test
