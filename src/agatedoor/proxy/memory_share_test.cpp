#include "memory_share.hpp"

#include "support/story.hpp"

namespace agatedoor::test {

namespace {

constexpr std::int64_t mebibyte = smallContentBytes;
constexpr MemoryLimits limits{.totalBytes = 10 * mebibyte, .smallBytes = 2 * mebibyte};

} // namespace

/// Guards against a refused content that stays counted, and keeps others out until it is gone.
TEST(MemoryShare, IsUnchangedByARefusal)
{
    std::atomic<std::int64_t> used{0};
    MemoryShare first(used, limits);
    EXPECT_TRUE(first.growTo(5 * mebibyte));
    MemoryShare second(used, limits);
    section("what is too much takes nothing", [&] {
        EXPECT_FALSE(second.fits(4 * mebibyte));
        EXPECT_FALSE(second.growTo(4 * mebibyte));
        EXPECT_EQ(used, 5 * mebibyte);
    });
    section("less is granted then", [&] {
        EXPECT_TRUE(second.fits(3 * mebibyte));
        EXPECT_TRUE(second.growTo(3 * mebibyte));
        EXPECT_FALSE(second.growTo(3 * mebibyte + 1));
        EXPECT_EQ(used, 8 * mebibyte);
    });
    section("a share never becomes smaller", [&] {
        EXPECT_TRUE(second.growTo(mebibyte));
        EXPECT_EQ(used, 8 * mebibyte);
    });
}

/// Guards against a few large contents that take all memory.
TEST(MemoryShare, OfSmallContentsIsKeptFreeOfLargeOnes)
{
    std::atomic<std::int64_t> used{0};
    {
        MemoryShare large(used, limits);
        EXPECT_TRUE(large.growTo(largestContentBytes(limits)));
        EXPECT_FALSE(large.growTo(largestContentBytes(limits) + 1));
        MemoryShare small(used, limits);
        EXPECT_TRUE(small.growTo(mebibyte));
        MemoryShare next(used, limits);
        EXPECT_TRUE(next.growTo(mebibyte));
        MemoryShare last(used, limits);
        EXPECT_FALSE(last.growTo(1));
        last.add(1);
        EXPECT_EQ(used, limits.totalBytes + 1);
    }
    EXPECT_EQ(used, 0);
}

} // namespace agatedoor::test
