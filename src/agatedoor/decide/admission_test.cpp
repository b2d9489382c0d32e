#include "agatedoor/decide/admission.hpp"
#include "support/story.hpp"

namespace agatedoor {

namespace {

constexpr TimePoint now{std::chrono::seconds(100)};

/// Load with all slots in use and an empty queue.
BackendLoad fullGate(Duration serviceTime)
{
    BackendLoad load;
    load.limit = {2};
    load.running = 2;
    load.serviceTime = serviceTime;
    return load;
}

AdmissionDecision decided(const BackendLoad &load, Duration timeout, std::int64_t ahead = 0)
{
    return decideAdmission(load, {PriorityClass::Normal, deadlineAfter(now, timeout), ahead}, AdmissionOptions{}, now);
}

} // namespace

TEST(Admission, RefusesAtOnceWhatCannotFinishInTime)
{
    const BackendLoad load = fullGate(std::chrono::milliseconds(20));
    test::section("a request waits when all slots are in use", [&] { EXPECT_EQ(decided(load, std::chrono::seconds(1)).verdict, AdmissionVerdict::Wait); });
    test::section("queueing and service time together must end before the deadline", [&] {
        EXPECT_EQ(decided(load, std::chrono::milliseconds(29)).reason, Reason::DeadlineTooShort);
        EXPECT_EQ(decided(load, std::chrono::milliseconds(30)).verdict, AdmissionVerdict::Wait);
        EXPECT_EQ(decided(load, std::chrono::milliseconds(30), 1).reason, Reason::DeadlineTooShort);
    });
    test::section("a request whose wait would exceed the longest one is refused immediately",
                  [&] { EXPECT_EQ(decided(fullGate(std::chrono::seconds(1)), std::chrono::seconds(9)).reason, Reason::QueueFull); });
    test::section("a request does not wait past its deadline", [&] {
        const AdmissionOptions options;
        const AdmissionRequest request{PriorityClass::High, deadlineAfter(now, std::chrono::milliseconds(5))};
        EXPECT_EQ(waitDeadline(request, options, now), request.deadline);
        EXPECT_EQ(waitDeadline({PriorityClass::High, deadlineAfter(now, std::chrono::seconds(5))}, options, now), deadlineAfter(now, options.longestWait));
    });
    test::section("a free slot is granted regardless of the last service time", [&] {
        BackendLoad load = fullGate(std::chrono::seconds(9));
        load.running = 1;
        EXPECT_EQ(decided(load, std::chrono::milliseconds(1)).verdict, AdmissionVerdict::Run);
    });
    test::section("a request that may not wait runs at once or not at all", [&] {
        AdmissionRequest request{PriorityClass::High, deadlineAfter(now, std::chrono::seconds(1))};
        request.mayWait = false;
        EXPECT_EQ(decideAdmission(load, request, AdmissionOptions{}, now).reason, Reason::NoFreeSlot);
        BackendLoad free = load;
        free.running = 1;
        EXPECT_EQ(decideAdmission(free, request, AdmissionOptions{}, now).verdict, AdmissionVerdict::Run);
    });
    test::section("a draining backend server gets no requests", [&] {
        BackendLoad load = fullGate(std::chrono::milliseconds(1));
        load.draining = true;
        EXPECT_EQ(decided(load, std::chrono::seconds(1)).reason, Reason::BackendDraining);
    });
}

TEST(Admission, BoundsTheQueueByTimeForHighPriorityOnly)
{
    const AdmissionOptions options;
    const Slots announced{4};
    BackendLoad load;
    load.limit = announced;
    load.serviceTime = std::chrono::milliseconds(10);
    test::section("high-priority requests may wait while all are served within the longest wait",
                  [&] { EXPECT_EQ(queueCapacity(load, announced, PriorityClass::High, options), 40); });
    test::section("other classes keep the short queue", [&] {
        EXPECT_EQ(queueCapacity(load, announced, PriorityClass::Normal, options), 8);
        EXPECT_EQ(queueCapacity(load, announced, PriorityClass::Low, options), 8);
    });
    test::section("a limit below the announced slots serves fewer in that time", [&] {
        load.limit = {3};
        EXPECT_EQ(queueCapacity(load, announced, PriorityClass::High, options), 30);
    });
    test::section("the short queue holds while the service time is long or unknown", [&] {
        load.serviceTime = std::chrono::seconds(1);
        EXPECT_EQ(queueCapacity(load, announced, PriorityClass::High, options), 8);
        load.serviceTime = Duration::zero();
        EXPECT_EQ(queueCapacity(load, announced, PriorityClass::High, options), 8);
    });
}

} // namespace agatedoor
