#include "agatedoor/decide/routing.hpp"
#include "agatedoor/state/record_attempt.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <new>
#include <vector>

namespace {

std::size_t allocations = 0;

} // namespace

/// Counts the allocations of the test program.
void *operator new(std::size_t size)
{
    ++allocations;
    void *memory = std::malloc(size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    return memory;
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

namespace agatedoor {

namespace {

constexpr EjectionOptions ejectionOptions{};

std::vector<std::unique_ptr<BackendStats>> busyBackends(std::size_t count, TimePoint now)
{
    std::vector<std::unique_ptr<BackendStats>> backends;
    for (std::size_t i = 0; i < count; ++i) {
        backends.push_back(std::make_unique<BackendStats>());
        recordReport(*backends.back(), {static_cast<std::int64_t>(i % 7), 12, std::chrono::milliseconds(5), {}}, now);
        recordSuccess(*backends.back(), std::chrono::milliseconds(5), now);
    }
    return backends;
}

void fill(std::vector<Candidate> &candidates, const std::vector<std::unique_ptr<BackendStats>> &backends, TimePoint now)
{
    candidates.clear();
    for (std::size_t i = 0; i < backends.size(); ++i) {
        candidates.push_back(candidateOf(*backends[i], ejectionOptions, now));
        candidates.back().slots = {12};
        candidates.back().locality = static_cast<Locality>(i % localityCount);
    }
}

} // namespace

TEST(DecisionTime, ChoosingABackendServerAllocatesNothing)
{
    constexpr int decisions = 2000;
    Random random{1};
    std::size_t turn = 0;
    for (const std::size_t count : {4, 35, 1300}) {
        const TimePoint now = Clock::now();
        const auto backends = busyBackends(count, now);
        std::vector<Candidate> candidates;
        candidates.reserve(count);
        const std::size_t before = allocations;
        const TimePoint start = Clock::now();
        for (int i = 0; i < decisions; ++i) {
            fill(candidates, backends, now);
            limitEjections(candidates, ejectionOptions);
            ASSERT_TRUE(chooseBackend(candidates, {}, now, random, turn).has_value());
        }
        const std::chrono::nanoseconds elapsed = Clock::now() - start;
        std::printf("%zu candidates: %ld ns for each decision\n", count, static_cast<long>(elapsed.count() / decisions));
        EXPECT_EQ(allocations, before);
    }
}

} // namespace agatedoor
