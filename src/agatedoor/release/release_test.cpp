#include "agatedoor/release/release.hpp"

#include "agatedoor/state/bundle.hpp"
#include "support/fake_store.hpp"
#include "support/story.hpp"

#include <deque>

namespace agatedoor::test {

namespace {

const std::string text = "[[service]]\nname = \"a\"\n[[route]]\nmethod = \"GET\"\npath = \"/\"\nservice = \"a\"\nidempotent = true\n";
const BundleDigest digest = digestOf(text);
const Operator astrid{"astrid", {"op-1"}};

/// A store with a signed-off bundle; its writes fail with the given faults in order, then succeed.
struct RollOutFixture
{
    FakeStore fake;
    Store direct = fake.seam([](bool) { return Fault::None; });
    std::deque<Fault> faults;
    Store faulty = fake.seam([this](bool write) {
        if (!write || faults.empty()) {
            return Fault::None;
        }
        const Fault next = faults.front();
        faults.pop_front();
        return next;
    });

    explicit RollOutFixture(std::deque<Fault> writeFaults)
        : faults(std::move(writeFaults))
    {
        EXPECT_TRUE(signOff(direct, {"astrid", {"op-0"}}, text, "bundle", {}));
    }
    Result<HeadRecord, ReleaseError> roll(const Operator &who = astrid) { return rollOut(faulty, who, {digest, {}}, {}); }
};

template <typename Kind, typename Reply>
bool failedWith(const Reply &reply)
{
    return !reply && std::holds_alternative<Kind>(reply.error());
}

} // namespace

/// Guards against a roll-out over a head that the operator never saw, which has the revision of the one that was read, as the store was
/// restored from a copy in between.
TEST(RollOut, IsRefusedWhenARestoredStoreGaveTheRevisionOfTheHeadToAnother)
{
    FakeStore fake;
    const Store direct = fake.seam([](bool) { return Fault::None; });
    ASSERT_TRUE(signOff(direct, {"astrid", {"op-0"}}, text, "bundle", {}));
    ASSERT_TRUE(rollOut(direct, {"astrid", {"op-1"}}, {digest, {}}, {}));
    ASSERT_TRUE(rollOut(direct, {"astrid", {"op-2"}}, {digest, {}}, {}));
    const Revision read = fake.at(std::string(headKey)).modRevision;
    const Store restoredBeforeTheWrite = fake.seam([&](bool write) {
        if (write) {
            fake.restore(1);
            EXPECT_TRUE(rollOut(direct, {"berit", {"op-3"}}, {digest, {}}, {}));
            EXPECT_EQ(fake.at(std::string(headKey)).modRevision, read);
        }
        return Fault::None;
    });
    const auto reply = rollOut(restoredBeforeTheWrite, {"astrid", {"op-4"}}, {digest, Generation{2}}, {});
    ASSERT_TRUE(failedWith<RollOutConflict>(reply));
    EXPECT_EQ(std::get<RollOutConflict>(reply.error()).winner.operation.value, "op-3");
    EXPECT_EQ(decodeHead(fake.at(std::string(headKey)).value)->operation.value, "op-3");
}

TEST(RollOut, ResolvesLostResponses)
{
    section("the write took effect", [] {
        RollOutFixture fixture({Fault::AnswerLost});
        const auto reply = fixture.roll();
        ASSERT_TRUE(reply);
        EXPECT_EQ(reply.value(), fixture.fake.heads().back());
    });
    section("a delayed write is abandoned: neither its late arrival nor a repeated call commits it", [] {
        RollOutFixture fixture({Fault::Late});
        EXPECT_TRUE(failedWith<OperationAbandoned>(fixture.roll()));
        EXPECT_TRUE(fixture.fake.deliverLate());
        EXPECT_TRUE(fixture.fake.heads().empty());
        EXPECT_TRUE(failedWith<OperationAbandoned>(fixture.roll()));
    });
    section("the outcome is unknown until the operation is settled", [] {
        RollOutFixture fixture({Fault::Late, Fault::Dropped});
        EXPECT_TRUE(failedWith<OutcomeUnknown>(fixture.roll()));
        section("a look-up finds no record, which proves nothing", [&] { EXPECT_FALSE(findOperation(fixture.direct, astrid.operation, {}).value()); });
        EXPECT_TRUE(fixture.fake.deliverLate());
        const auto settled = settleOperation(fixture.direct, astrid.operation, {});
        ASSERT_TRUE(settled && settled.value().landed);
        EXPECT_EQ(*settled.value().landed, fixture.fake.heads().back());
    });
}

TEST(RollOut, ReportsEarlierAndConcurrentRollOuts)
{
    section("repeating a committed operation succeeds and writes nothing", [] {
        RollOutFixture fixture({});
        const auto first = fixture.roll();
        ASSERT_TRUE(fixture.roll({"bayani", {"op-2"}}));
        const auto again = fixture.roll();
        ASSERT_TRUE(again);
        EXPECT_EQ(again.value(), first.value());
        EXPECT_EQ(fixture.fake.heads().size(), 2U);
    });
    section("an operation id committed with another bundle is refused", [] {
        RollOutFixture fixture({});
        ASSERT_TRUE(fixture.roll());
        const std::string other = text + "# other\n";
        ASSERT_TRUE(signOff(fixture.direct, {"astrid", {"op-9"}}, other, "bundle", {}));
        EXPECT_TRUE(failedWith<OperationReused>(rollOut(fixture.direct, astrid, {digestOf(other), {}}, {})));
    });
    section("a conflict names the roll-out that took the generation, not a later one", [] {
        RollOutFixture fixture({});
        bool interrupted = false;
        const Store interruptedStore = fixture.fake.seam([&](bool write) {
            if (write && !interrupted) {
                interrupted = true;
                EXPECT_TRUE(fixture.roll({"bayani", {"winner"}}));
                EXPECT_TRUE(fixture.roll({"celia", {"later"}}));
            }
            return Fault::None;
        });
        const auto reply = rollOut(interruptedStore, astrid, {digest, {}}, {});
        ASSERT_TRUE(failedWith<RollOutConflict>(reply));
        EXPECT_EQ(std::get<RollOutConflict>(reply.error()).winner.operation.value, "winner");
    });
    section("rolling out the same content again creates a greater generation", [] {
        RollOutFixture fixture({});
        ASSERT_TRUE(fixture.roll());
        EXPECT_EQ(fixture.roll({"astrid", {"op-2"}}).value().generation.value, 2U);
    });
    section("nothing is written if the expected generation isn't in force", [] {
        RollOutFixture fixture({});
        const auto reply = rollOut(fixture.direct, astrid, {digest, Generation{7}}, {});
        ASSERT_TRUE(failedWith<GenerationMismatch>(reply));
        EXPECT_TRUE(fixture.fake.heads().empty());
        EXPECT_TRUE(rollOut(fixture.direct, astrid, {digest, Generation{0}}, {}));
    });
}

TEST(RollOut, RefusesDamagedRecords)
{
    section("a head with a flipped bit isn't decoded", [] {
        RollOutFixture fixture({});
        ASSERT_TRUE(fixture.roll());
        const std::string good = fixture.fake.at(std::string(headKey)).value;
        for (std::size_t at = 0; at < good.size(); ++at) {
            for (int bit = 0; bit < 8; ++bit) {
                std::string bad = good;
                bad[at] = static_cast<char>(bad[at] ^ (1 << bit));
                EXPECT_FALSE(decodeHead(bad)) << at << "." << bit;
            }
        }
    });
    section("a damaged bundle isn't rolled out", [] {
        RollOutFixture fixture({});
        fixture.fake.overwrite(bundleKey(digest), encodeSignedBundle({digest, {"op-0"}, "astrid", text + "#"}));
        EXPECT_TRUE(failedWith<DamagedRecord>(fixture.roll()));
        EXPECT_TRUE(failedWith<DamagedRecord>(signOff(fixture.direct, astrid, text, "bundle", {})));
    });
    section("removing the head doesn't restart the generations", [] {
        RollOutFixture fixture({});
        ASSERT_TRUE(fixture.roll());
        fixture.fake.erase(std::string(headKey));
        EXPECT_TRUE(failedWith<DamagedRecord>(fixture.roll({"astrid", {"op-2"}})));
    });
}

TEST(SignOff, ResolvesLostResponses)
{
    const std::string other = text + "# other\n";
    section("the write took effect", [&] {
        RollOutFixture fixture({Fault::AnswerLost});
        const auto reply = signOff(fixture.faulty, astrid, other, "bundle", {});
        ASSERT_TRUE(reply);
        EXPECT_FALSE(reply.value().alreadyStored);
    });
    section("the outcome is unknown", [&] {
        RollOutFixture fixture({Fault::Dropped, Fault::Unreachable});
        EXPECT_TRUE(failedWith<SignOffUnknown>(signOff(fixture.faulty, astrid, other, "bundle", {})));
    });
    section("a sign-off by another operation reports that the bundle is already stored", [&] {
        RollOutFixture fixture({});
        EXPECT_TRUE(signOff(fixture.faulty, astrid, text, "bundle", {}).value().alreadyStored);
    });
}

} // namespace agatedoor::test
