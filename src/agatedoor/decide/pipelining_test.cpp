#include "agatedoor/decide/pipelining.hpp"

#include "agatedoor/base/random.hpp"
#include "support/story.hpp"

#include <algorithm>
#include <vector>

namespace agatedoor {

namespace {

using test::section;

constexpr PipelineOptions options{};

/// Ends a write that must be possible; the position that was written.
PipelinePosition writeNext(Pipeline &pipeline)
{
    const auto position = pipeline.beginWrite();
    EXPECT_TRUE(position.has_value());
    pipeline.endWrite();
    return position.value_or(PipelinePosition{});
}

/// Every position once, in a random order.
std::vector<PipelinePosition> shuffled(std::vector<PipelinePosition> positions, Random &random)
{
    for (std::size_t i = positions.size(); i > 1; --i) {
        std::swap(positions[i - 1], positions[uniformIndex(random, i)]);
    }
    return positions;
}

} // namespace

TEST(Pipelining, ASlowResponseInFrontDoesntKeepOthersFromRunning)
{
    Pipeline pipeline;
    const auto slow = pipeline.add();
    section("a lookup without a body runs beside the slow one", [&] {
        EXPECT_FALSE(runsAlone({.idempotent = true}));
        EXPECT_TRUE(pipeline.mayRead(0, options));
    });
    const auto quick = pipeline.add();
    section("its response is held until the slow one is written", [&] {
        pipeline.finish(quick, 100);
        EXPECT_FALSE(pipeline.beginWrite().has_value());
        EXPECT_EQ(pipeline.heldBytes(), 100);
        pipeline.finish(slow, 50);
        EXPECT_EQ(writeNext(pipeline), slow);
        EXPECT_EQ(writeNext(pipeline), quick);
        EXPECT_EQ(pipeline.heldBytes(), 0);
        EXPECT_TRUE(pipeline.empty());
    });
}

TEST(Pipelining, RequestsThatMayNotRunBesideOthersRunAlone)
{
    section("one that isn't idempotent", [] { EXPECT_TRUE(runsAlone({.idempotent = false})); });
    section("one with a body", [] { EXPECT_TRUE(runsAlone({.idempotent = true, .hasBody = true})); });
    section("one after which the connection may carry something else", [] { EXPECT_TRUE(runsAlone({.idempotent = true, .leavesHttp = true})); });
}

TEST(Pipelining, ReadingStopsAtEachLimit)
{
    section("of requests", [] {
        Pipeline pipeline;
        for (std::size_t i = 0; i < options.maxRequests; ++i) {
            EXPECT_TRUE(pipeline.mayRead(0, options));
            pipeline.add();
        }
        EXPECT_FALSE(pipeline.mayRead(0, options));
    });
    section("of bytes held on the connection, and goes on once they are written", [] {
        Pipeline pipeline;
        const auto first = pipeline.add();
        pipeline.finish(pipeline.add(), options.maxHeldBytes);
        EXPECT_FALSE(pipeline.mayRead(0, options));
        pipeline.finish(first, 1);
        writeNext(pipeline);
        writeNext(pipeline);
        EXPECT_TRUE(pipeline.mayRead(0, options));
    });
    section("of bytes held on the node, but a connection without requests is always read", [] {
        Pipeline pipeline;
        EXPECT_TRUE(pipeline.mayRead(options.maxNodeHeldBytes, options));
        pipeline.add();
        EXPECT_FALSE(pipeline.mayRead(options.maxNodeHeldBytes, options));
    });
}

TEST(Pipelining, OneResponseIsWrittenAtATime)
{
    Pipeline pipeline;
    pipeline.finish(pipeline.add(), 1);
    pipeline.finish(pipeline.add(), 1);
    ASSERT_TRUE(pipeline.beginWrite().has_value());
    EXPECT_FALSE(pipeline.beginWrite().has_value());
    pipeline.endWrite();
    EXPECT_TRUE(pipeline.beginWrite().has_value());
}

TEST(PipeliningProperties, ResponsesLeaveInTheOrderOfTheirRequestsWhicheverIsReadyFirst)
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Random random{seed};
        Pipeline pipeline;
        std::vector<PipelinePosition> unfinished;
        std::vector<PipelinePosition> written;
        std::uint64_t added = 0;
        for (int step = 0; step < 60; ++step) {
            if (uniformUnit(random) < 0.5 && pipeline.mayRead(0, options)) {
                unfinished.push_back(pipeline.add());
                ++added;
            } else if (!unfinished.empty()) {
                unfinished = shuffled(std::move(unfinished), random);
                pipeline.finish(unfinished.back(), static_cast<std::int64_t>(uniformIndex(random, 100'000)));
                unfinished.pop_back();
            }
            while (const auto position = pipeline.beginWrite()) {
                written.push_back(*position);
                pipeline.endWrite();
            }
            EXPECT_LE(pipeline.size(), options.maxRequests);
        }
        EXPECT_TRUE(std::is_sorted(written.begin(), written.end()));
        EXPECT_EQ(written.size() + pipeline.size(), added);
        EXPECT_TRUE(written.empty() || written.back().value + 1 == written.size());
    }
}

} // namespace agatedoor
