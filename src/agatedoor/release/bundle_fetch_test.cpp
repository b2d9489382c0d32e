#include "agatedoor/release/bundle_fetch.hpp"

#include "agatedoor/state/settings.hpp"
#include "support/story.hpp"

namespace agatedoor {

TEST(BundleFetch, OnlyRepresentativesAskOtherRegionsAtOnce)
{
    const TimePoint start{std::chrono::hours(1)};
    BundleFetch fetch;
    const AnnouncedGeneration sameRegion{{5}, true, false};
    const AnnouncedGeneration otherRegion{{5}, false, false};
    const AnnouncedGeneration representative{{5}, false, true};
    const auto after = [start](int milliseconds) { return start + std::chrono::milliseconds(milliseconds); };

    test::section("the generation in force and older ones aren't fetched", [&] {
        EXPECT_FALSE(shouldFetch(fetch, sameRegion, {5}, start));
        EXPECT_FALSE(shouldFetch(fetch, sameRegion, {6}, start));
    });
    test::section("only a representative asks another region at once", [&] {
        EXPECT_FALSE(shouldFetch(fetch, otherRegion, {4}, start));
        BundleFetch other;
        EXPECT_TRUE(shouldFetch(other, representative, {4}, start));
    });
    test::section("a peer in the same region is asked, one request at a time", [&] {
        EXPECT_TRUE(shouldFetch(fetch, sameRegion, {4}, after(10)));
        EXPECT_FALSE(shouldFetch(fetch, sameRegion, {4}, after(20)));
        EXPECT_TRUE(shouldFetch(fetch, sameRegion, {4}, after(1100)));
    });
    test::section("after a delay, a peer in another region is asked too", [&] { EXPECT_TRUE(shouldFetch(fetch, otherRegion, {4}, after(2500))); });
    test::section("a refused bundle isn't requested again at once, but a greater generation is", [&] {
        recordRefusal(fetch, after(2600));
        EXPECT_FALSE(shouldFetch(fetch, sameRegion, {4}, after(4000)));
        EXPECT_TRUE(shouldFetch(fetch, {{6}, true, false}, {4}, after(4000)));
    });
}

/// Guards against a storm of changes that keeps a node from ever asking another region: its own region has nothing to offer.
TEST(BundleFetch, NewerGenerationsDontProlongTheWaitForOtherRegions)
{
    const TimePoint start{std::chrono::hours(1)};
    const auto after = [start](int milliseconds) { return start + std::chrono::milliseconds(milliseconds); };
    BundleFetch fetch;
    const Generation inForce{4};
    test::section("one change every 0.7 s, each announced by another region only", [&] {
        EXPECT_FALSE(shouldFetch(fetch, {{5}, false, false}, inForce, after(0)));
        EXPECT_FALSE(shouldFetch(fetch, {{6}, false, false}, inForce, after(700)));
        EXPECT_FALSE(shouldFetch(fetch, {{7}, false, false}, inForce, after(1'400)));
        EXPECT_TRUE(shouldFetch(fetch, {{8}, false, false}, inForce, after(2'100)));
    });
    test::section("a node that has caught up waits again", [&] {
        EXPECT_FALSE(shouldFetch(fetch, {{9}, false, false}, {8}, after(2'800)));
        EXPECT_TRUE(shouldFetch(fetch, {{9}, false, false}, {8}, after(4'400)));
    });
}

TEST(Settings, SeedsMayBeLeftOutAndAreChecked)
{
    const std::string text = "node = \"n\"\nzone = \"z\"\nregion = \"r\"\ncallers = \"10.0.0.1:1\"\npeers = \"10.0.0.1:2\"\ngossip = \"10.0.0.1:3\"\n"
                             "backends = \"10.0.0.1:4\"\nadmin = \"10.0.0.1:5\"\nstores = [\"10.0.0.9:6\"]\n";
    EXPECT_TRUE(parseSettings(text, "f").value().seeds.empty());
    EXPECT_EQ(parseSettings(text + "seeds = [\"10.0.0.2:3\"]\n", "f").value().seeds.at(0), (Endpoint{"10.0.0.2", 3}));
    const auto bad = parseSettings(text + "seeds = [\"host:3\"]\n", "f");
    ASSERT_FALSE(bad);
    EXPECT_EQ(bad.error().key, "seeds");
}

} // namespace agatedoor
