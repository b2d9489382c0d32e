#include "agatedoor/release/bundle_pack.hpp"

#include "agatedoor/base/random.hpp"
#include "support/mutate.hpp"
#include "support/story.hpp"

namespace agatedoor {

namespace {

using test::section;

constexpr std::size_t maxBytes = 1'000'000;

std::string textOf(int routes, int changedRoute)
{
    Random random{3};
    std::string text;
    for (int i = 0; i < routes; ++i) {
        text += randomHex(random) + (i == changedRoute ? "=2\n" : "=1\n");
    }
    return text;
}

} // namespace

TEST(BundlePack, ATextComesBackAndASmallChangeIsSmall)
{
    const std::string base = textOf(10'000, -1);
    const std::string text = textOf(10'000, 4'000);
    section("without a base", [&] { EXPECT_EQ(unpackText(packText(text, ""), "", maxBytes), text); });
    section("against an earlier text, a change of one line takes a few hundred bytes", [&] {
        const std::string packed = packText(text, base);
        EXPECT_EQ(unpackText(packed, base, maxBytes), text);
        EXPECT_LT(packed.size(), 500U) << "of " << text.size();
    });
    section("an empty text too", [&] { EXPECT_EQ(unpackText(packText("", base), base, maxBytes), ""); });
}

TEST(BundlePack, WhatCantBeRestoredIsRefused)
{
    const std::string base = textOf(200, -1);
    const std::string text = textOf(200, 50);
    const std::string packed = packText(text, base);
    section("against another base the text doesn't come back", [&] { EXPECT_NE(unpackText(packed, textOf(200, 7) + "x", maxBytes), text); });
    section("a text over the limit isn't unpacked", [&] {
        EXPECT_FALSE(unpackText(packText(std::string(maxBytes + 1, 'a'), ""), "", maxBytes));
        EXPECT_TRUE(unpackText(packText(std::string(maxBytes, 'a'), ""), "", maxBytes));
    });
    section("damaged bytes are refused or yield another text, of bounded size", [&] {
        Random random{11};
        for (int i = 0; i < 2'000; ++i) {
            const auto damaged = unpackText(test::mutated(packed, random), base, maxBytes);
            EXPECT_LE(damaged.value_or("").size(), maxBytes);
        }
        EXPECT_FALSE(unpackText("", base, maxBytes));
        EXPECT_FALSE(unpackText(packed.substr(0, packed.size() / 2), base, maxBytes));
    });
}

} // namespace agatedoor
