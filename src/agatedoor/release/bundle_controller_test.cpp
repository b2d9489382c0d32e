#include "agatedoor/release/bundle_controller.hpp"

#include "support/story.hpp"

namespace agatedoor {

namespace {

std::string bundleText(const std::string &service)
{
    return "[[service]]\nname = \"" + service + "\"\n[[route]]\nmethod = \"GET\"\npath = \"/\"\nservice = \"" + service + "\"\nidempotent = true\n";
}

HeadRecord headFor(std::uint64_t generation, const std::string &text)
{
    return {{generation}, digestOf(text), {"op"}, "astrid"};
}

} // namespace

TEST(BundleController, RejectsOlderGenerations)
{
    BundleController controller;
    const std::string first = bundleText("first");
    const std::string second = bundleText("second");
    test::section("a greater generation is put in force", [&] {
        EXPECT_TRUE(controller.apply(headFor(1, first), first));
        EXPECT_TRUE(controller.apply(headFor(3, second), second));
    });
    test::section("an older or equal generation is refused as stale", [&] {
        for (const std::uint64_t generation : {2, 3}) {
            const auto applied = controller.apply(headFor(generation, first), first);
            ASSERT_FALSE(applied);
            EXPECT_TRUE(std::holds_alternative<StaleGeneration>(applied.error()));
        }
        EXPECT_EQ(controller.current()->text, second);
    });
    test::section("text with a wrong digest or syntax is refused and the bundle in force stays", [&] {
        const auto damaged = controller.apply(headFor(4, first), second);
        EXPECT_TRUE(std::holds_alternative<DigestMismatch>(damaged.error()));
        const auto unparsable = controller.apply(headFor(4, "nonsense"), "nonsense");
        EXPECT_TRUE(std::holds_alternative<ConfigError>(unparsable.error()));
        EXPECT_EQ(controller.current()->head.generation.value, 3U);
    });
}

} // namespace agatedoor
