#include "agatedoor/state/bundle.hpp"

#include "agatedoor/state/settings.hpp"
#include "support/story.hpp"

namespace agatedoor {

namespace {

const std::string validBundle = R"([[service]]
name = "catalogue"

[[route]]
method = "GET"
path = "/catalogue"
service = "catalogue"
idempotent = true
)";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

Route routeFor(const std::string &host, const std::string &method, const std::string &prefix, const std::string &service)
{
    Route route;
    route.host = host;
    route.method = method;
    route.pathPrefix = prefix;
    route.service = {service};
    route.idempotent = true;
    return route;
}

void expectRejected(const std::string &text, ConfigErrorKind kind, const std::string &key)
{
    const auto bundle = parseBundle(text, "bundle.toml");
    ASSERT_FALSE(bundle) << text;
    EXPECT_EQ(wireName(bundle.error().kind), wireName(kind)) << toText(bundle.error());
    EXPECT_EQ(bundle.error().key, key) << toText(bundle.error());
}

} // namespace

TEST(Bundle, IsCheckedAsAWhole)
{
    test::section("a valid bundle is accepted", [] { EXPECT_TRUE(parseBundle(validBundle, "bundle.toml")); });
    test::section("the example bundles of the deployments are accepted", [] {
        for (const auto *name : {"statens_takstolsverk", "liwanag"}) {
            const std::string file = std::string(AGATEDOOR_SOURCE_DIR) + "/examples/deployments/" + name + ".toml";
            const auto bundle = parseBundle(readTextFile(file).value(), file);
            ASSERT_TRUE(bundle) << toText(bundle.error());
            EXPECT_EQ(bundle.value().services.size(), 4U);
        }
    });
    test::section("a bundle without services or routes is rejected", [] {
        expectRejected("", ConfigErrorKind::Empty, "service");
        expectRejected("[[service]]\nname = \"a\"\n", ConfigErrorKind::Empty, "route");
        expectRejected("service = []\nroute = []\n", ConfigErrorKind::Empty, "service");
    });
    test::section("contradictions and duplicates are rejected", [] {
        expectRejected(replaced(validBundle, "idempotent = true", "idempotent = false"), ConfigErrorKind::Contradiction, "route.idempotent");
        expectRejected(replaced(validBundle, "service = \"catalogue\"", "service = \"other\""), ConfigErrorKind::Contradiction, "route.service");
        expectRejected(validBundle + "[[service]]\nname = \"idle\"\n", ConfigErrorKind::Contradiction, "service.name");
        expectRejected(validBundle + "[[service]]\nname = \"catalogue\"\n", ConfigErrorKind::Duplicate, "service.name");
    });
    test::section("bad values, unknown keys and syntax errors are rejected", [] {
        expectRejected(replaced(validBundle, "\"GET\"", "\"FETCH\""), ConfigErrorKind::BadValue, "route.method");
        expectRejected(replaced(validBundle, "\"/catalogue\"", "\"catalogue\""), ConfigErrorKind::BadValue, "route.path");
        expectRejected(validBundle + "timeout_ms = 0\n", ConfigErrorKind::BadValue, "route.timeout_ms");
        expectRejected(validBundle + "priority = \"urgent\"\n", ConfigErrorKind::BadValue, "route.priority");
        expectRejected(validBundle + "retries = 3\n", ConfigErrorKind::UnknownKey, "route.retries");
        expectRejected(validBundle + "[budgets]\nretry_percent = 101\n", ConfigErrorKind::BadValue, "budgets.retry_percent");
        expectRejected("[[service]\n", ConfigErrorKind::Syntax, "");
    });
    // Guards against the last region being taken off a route or customer, which would let its requests run in all of them.
    test::section("an empty list of regions is rejected, since none at all allows every region", [] {
        expectRejected(validBundle + "regions = []\n", ConfigErrorKind::Empty, "route.regions");
        expectRejected(validBundle + "[[customer]]\nname = \"yard\"\nkey_digests = []\nregions = []\n", ConfigErrorKind::Empty, "customer.regions");
        EXPECT_TRUE(parseBundle(validBundle + "regions = [\"north\"]\n", "bundle.toml"));
    });
    test::section("a text that is too large for the store is rejected", [] {
        const std::string large(static_cast<std::size_t>(maxBundleSize.value) + 1, '#');
        expectRejected(large, ConfigErrorKind::TooLarge, "");
    });
}

TEST(Bundle, MatchesTheLongestPrefixOfWholeSegments)
{
    Service catalogue{{"catalogue"}};
    const Route all = routeFor("", "GET", "/catalogue", "catalogue");
    const Route internal = routeFor("", "GET", "/catalogue/internal", "catalogue");
    const auto bundle = BundleBuilder().service(catalogue).route(all).route(internal).build();
    ASSERT_TRUE(bundle);
    const auto prefixOf = [&bundle](std::string_view method, std::string_view target) {
        const Route *route = matchRoute(bundle.value(), {"any.example", method, target});
        return route == nullptr ? std::string("none") : route->pathPrefix;
    };
    EXPECT_EQ(prefixOf("GET", "/catalogue"), "/catalogue");
    EXPECT_EQ(prefixOf("GET", "/catalogue/7?colour=red"), "/catalogue");
    EXPECT_EQ(prefixOf("GET", "/catalogue/internal/price"), "/catalogue/internal");
    EXPECT_EQ(prefixOf("GET", "/catalogues"), "none");
    EXPECT_EQ(prefixOf("POST", "/catalogue"), "none");
}

TEST(Bundle, MatchesTheHostAndAnyMethodWhenNoneIsNamed)
{
    Service catalogue;
    catalogue.name = {"catalogue"};
    Service quotes;
    quotes.name = {"quotes"};
    const Route shop = routeFor("shop.example", "", "/a/", "catalogue");
    const Route office = routeFor("office.example", "", "/a/", "quotes");
    const auto bundle = BundleBuilder().service(catalogue).service(quotes).route(shop).route(office).build();
    ASSERT_TRUE(bundle);
    const auto serviceOf = [&bundle](std::string_view host, std::string_view target) {
        const Route *route = matchRoute(bundle.value(), {host, "DELETE", target});
        return route == nullptr ? std::string("none") : route->service.value;
    };
    EXPECT_EQ(serviceOf("shop.example", "/a/1"), "catalogue");
    EXPECT_EQ(serviceOf("Office.Example:8080", "/a/1"), "quotes");
    EXPECT_EQ(serviceOf("elsewhere.example", "/a/1"), "none");
    EXPECT_EQ(serviceOf("shop.example", "/a"), "none");
}

TEST(Bundle, GivesARouteTheSameKeyInEachBundle)
{
    const auto keyIn = [](const Route &route) { return BundleBuilder().service({{"a"}}).route(route).build().value().routes.front().key; };
    const Route lookups = routeFor("h", "GET", "/lookups", "a");
    const RouteKey key = keyIn(lookups);
    test::section("it fits into two bytes and isn't that of an unknown route", [&] {
        EXPECT_GT(key.value, 0U);
        EXPECT_LE(key.value, 65'535U);
    });
    test::section("what the route does may change", [&] {
        Route slower = lookups;
        slower.timeout = std::chrono::seconds(9);
        EXPECT_EQ(keyIn(slower), key);
    });
    test::section("another path, method or host is another route", [&] {
        EXPECT_NE(keyIn(routeFor("h", "GET", "/orders", "a")), key);
        EXPECT_NE(keyIn(routeFor("h", "POST", "/lookups", "a")), key);
        EXPECT_NE(keyIn(routeFor("other", "GET", "/lookups", "a")), key);
    });
}

TEST(Bundle, SplitsARouteByWeight)
{
    Route route;
    route.service = {"old"};
    route.shares = {{{"old"}, 90}, {{"new"}, 10}, {{"off"}, 0}};
    test::section("each share receives requests in proportion to its weight", [&route] {
        EXPECT_EQ(chooseShare(route, 0.0).value, "old");
        EXPECT_EQ(chooseShare(route, 0.89).value, "old");
        EXPECT_EQ(chooseShare(route, 0.91).value, "new");
        EXPECT_EQ(chooseShare(route, 0.9999).value, "new");
    });
    test::section("a route without shares uses its own service", [&route] {
        route.shares.clear();
        EXPECT_EQ(chooseShare(route, 0.95).value, "old");
    });
    test::section("shares are parsed and validated", [] {
        const std::string split = validBundle + "[[route.share]]\nservice = \"catalogue\"\nweight = 3\n";
        const auto bundle = parseBundle(split, "bundle.toml");
        ASSERT_TRUE(bundle);
        EXPECT_EQ(bundle.value().routes[0].shares.at(0).weight, 3U);
        expectRejected(replaced(split, "service = \"catalogue\"\nweight", "service = \"other\"\nweight"), ConfigErrorKind::Contradiction,
                       "route.share.service");
    });
}

TEST(Bundle, NamesCustomersByTheDigestsOfTheirKeys)
{
    const std::string customer = "\n[[customer]]\nname = \"yard\"\nrequests_per_second = 12.5\nburst = 20\npriority = \"high\"\nregions = [\"north\"]\n";
    const std::string digest = keyDigestOf("key-1").value;
    test::section("a key is found by its digest", [&] {
        const auto bundle = parseBundle(validBundle + customer + "key_digests = [\"" + digest + "\"]\n", "bundle.toml");
        ASSERT_TRUE(bundle) << toText(bundle.error());
        const Customer *found = findCustomer(bundle.value(), keyDigestOf("key-1"));
        ASSERT_NE(found, nullptr);
        EXPECT_EQ(found->name.value, "yard");
        EXPECT_EQ(found->requestsPerSecond, 12.5);
        EXPECT_EQ(found->priority, PriorityClass::High);
    });
    test::section("a key in place of its digest is rejected without showing it", [&] {
        const auto bundle = parseBundle(validBundle + customer + "key_digests = [\"key-1\"]\n", "bundle.toml");
        ASSERT_FALSE(bundle);
        EXPECT_EQ(bundle.error().key, "customer.key_digests");
        EXPECT_EQ(toText(bundle.error()).find("key-1"), std::string::npos);
    });
    test::section("a list without customers isn't the same as none: keys are needed, and none is valid", [&] {
        const auto none = parseBundle(validBundle, "bundle.toml");
        const auto empty = parseBundle("customer = []\n" + validBundle, "bundle.toml");
        ASSERT_TRUE(none);
        ASSERT_TRUE(empty) << toText(empty.error());
        EXPECT_FALSE(needsKeys(none.value()));
        EXPECT_TRUE(needsKeys(empty.value()));
        EXPECT_TRUE(customersOf(empty.value()).empty());
        EXPECT_EQ(findCustomer(empty.value(), keyDigestOf("key-1")), nullptr);
        expectRejected("customer = [1]\n" + validBundle, ConfigErrorKind::WrongType, "customer");
    });
    test::section("a customer that stands twice is rejected at its line", [&] {
        const std::string once = customer + "key_digests = []\n";
        const auto bundle = parseBundle(validBundle + once + once, "bundle.toml");
        ASSERT_FALSE(bundle);
        EXPECT_EQ(wireName(bundle.error().kind), wireName(ConfigErrorKind::Duplicate));
        EXPECT_GT(bundle.error().line, 0);
    });
}

} // namespace agatedoor
