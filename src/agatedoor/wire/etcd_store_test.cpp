#include "agatedoor/wire/etcd_store.hpp"

#include "agatedoor/wire/base64.hpp"
#include "support/fixed_answer.hpp"
#include "support/mutate.hpp"
#include "support/story.hpp"

namespace agatedoor::test {

namespace {

constexpr std::uint64_t seed = 20251204;
constexpr int rounds = 400;

Deadline soon()
{
    return deadlineAfter(Clock::now(), std::chrono::seconds(5));
}

HttpReply answer(std::string body)
{
    return jsonReply(200, std::move(body));
}

StoreTransaction transactionWithRead()
{
    return {{{"key", 0}}, {{"key", "value"}}, {}, {"key"}};
}

const std::string rangeAnswer
    = R"({"header":{"revision":"7"},"kvs":[{"key":")" + toBase64("key") + R"(","value":")" + toBase64("value") + R"(","mod_revision":"5"}]})";
const std::string refusedAnswer
    = R"({"header":{"revision":"7"},"responses":[{"response_range":{"kvs":[{"key":")" + toBase64("key") + R"(","value":"","mod_revision":"5"}]}}]})";

} // namespace

TEST(EtcdStore, TellsMalformedAnswersFromEmptyOnes)
{
    FixedAnswer server;
    const Store store = makeEtcdStore({server.endpoint()});
    section("an answer without a revision says nothing of keys or writes", [&] {
        for (const auto *body : {"{}", "[]", "", "nonsense", R"({"header":{}})", R"({"header":{"revision":"7x"}})"}) {
            server.set(answer(body));
            EXPECT_EQ(store.range("key", soon()).error().kind, StoreErrorKind::Malformed) << body;
            EXPECT_EQ(store.transact(transactionWithRead(), soon()).error().kind, StoreErrorKind::Malformed) << body;
        }
    });
    section("a refused transaction must bring what it was to read", [&] {
        server.set(answer(R"({"header":{"revision":"7"}})"));
        EXPECT_EQ(store.transact(transactionWithRead(), soon()).error().kind, StoreErrorKind::Malformed);
        server.set(answer(refusedAnswer));
        const auto reply = store.transact(transactionWithRead(), soon());
        ASSERT_TRUE(reply);
        EXPECT_FALSE(reply.value().applied);
        EXPECT_EQ(reply.value().found.at(0).modRevision, 5);
    });
    section("an empty range is told from its revision", [&] {
        server.set(answer(R"({"header":{"revision":"7"}})"));
        EXPECT_TRUE(store.range("key", soon()).value().values.empty());
    });
    section("a server error may have applied the write, a client error not", [&] {
        server.set({500, {}, "{}"});
        EXPECT_FALSE(notApplied(store.transact(transactionWithRead(), soon()).error()));
        server.set({400, {}, "{}"});
        EXPECT_TRUE(notApplied(store.transact(transactionWithRead(), soon()).error()));
    });
}

TEST(EtcdStore, TellsThatAWatchCantGoOn)
{
    FixedAnswer server;
    const Store store = makeEtcdStore({server.endpoint()});
    section("a watch whose history was dropped was refused, not quiet", [&] {
        server.set(answer(R"({"result":{"header":{"revision":"9"},"created":true,"canceled":true,"compact_revision":"9"}})"
                          "\n"));
        const auto reply = store.watch("key", {1, {}}, soon(), {});
        ASSERT_FALSE(reply);
        EXPECT_EQ(reply.error().kind, StoreErrorKind::Rejected);
    });
    section("a store that is at an earlier revision than the watch was restored from a copy, and would answer only once it has passed it", [&] {
        server.set(answer(R"({"result":{"header":{"revision":"9"},"created":true}})"
                          "\n"));
        EXPECT_TRUE(store.watch("key", {10, {}}, soon(), {}));
        const auto reply = store.watch("key", {11, {}}, soon(), {});
        ASSERT_FALSE(reply);
        EXPECT_EQ(reply.error().kind, StoreErrorKind::Restored);
    });
    section("a watch that ends without events is quiet", [&] {
        server.set(answer(R"({"result":{"header":{"revision":"9"},"created":true}})"
                          "\n"));
        const auto reply = store.watch("key", {1, {}}, soon(), {});
        ASSERT_TRUE(reply);
        EXPECT_TRUE(reply.value().events.empty());
    });
}

TEST(EtcdStore, SurvivesDamagedAnswers)
{
    FixedAnswer server;
    const Store store = makeEtcdStore({server.endpoint()});
    Random random{seed};
    for (int round = 0; round < rounds; ++round) {
        server.set(answer(mutated(round % 2 == 0 ? rangeAnswer : refusedAnswer, random)));
        const auto range = store.range("key", soon());
        EXPECT_TRUE(!range || range.value().revision > 0);
        const auto written = store.transact(transactionWithRead(), soon());
        EXPECT_TRUE(!written || written.value().revision > 0);
        (void)store.watch("key", {1, {}}, soon(), {});
        (void)store.grantLease(std::chrono::seconds(1), soon());
        (void)store.keepLease({1, {}}, soon());
    }
}

} // namespace agatedoor::test
