#include "agatedoor/release/bundle_history.hpp"

#include "support/story.hpp"

namespace agatedoor {

namespace {

using test::section;

BundleInForce bundle(std::uint64_t generation, std::size_t bytes)
{
    BundleInForce bundle;
    bundle.head.generation = {generation};
    bundle.head.digest = {"digest-" + std::to_string(generation)};
    bundle.text = std::string(bytes, 'x');
    return bundle;
}

} // namespace

TEST(BundleHistory, TheLastBundlesAreKeptWithinTheLimits)
{
    BundleHistory history{{3, 1'000}, {}, 0};
    section("no bundle in force leaves no entry", [&] {
        recordBundle(history, {});
        EXPECT_TRUE(history.bundles.empty());
    });
    section("each generation is kept once", [&] {
        recordBundle(history, bundle(1, 10));
        recordBundle(history, bundle(1, 10));
        EXPECT_EQ(history.bundles.size(), 1U);
        EXPECT_EQ(findBundle(history, {"digest-1"})->text.size(), 10U);
    });
    section("the oldest goes beyond the number", [&] {
        for (std::uint64_t generation = 2; generation <= 4; ++generation) {
            recordBundle(history, bundle(generation, 10));
        }
        EXPECT_EQ(findBundle(history, {"digest-1"}), nullptr);
        EXPECT_EQ(history.bytes, 30U);
    });
    section("and beyond the bytes, but the newest stays", [&] {
        recordBundle(history, bundle(5, 2'000));
        EXPECT_EQ(history.bundles.size(), 1U);
        EXPECT_NE(findBundle(history, {"digest-5"}), nullptr);
    });
}

} // namespace agatedoor
