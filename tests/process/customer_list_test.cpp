#include "support/deployment.hpp"
#include "support/story.hpp"

#include "agatedoor/state/settings.hpp"

#include <fstream>
#include <unistd.h>

/// @brief Bundles with customers, with an empty list of them and without one, from the operators' file to the nodes.
namespace agatedoor::test {

namespace {

const std::string example = std::string(AGATEDOOR_SOURCE_DIR) + "/examples/deployments/statens_takstolsverk.toml";

/// Bundle file whose first line lists the customers; it is removed with the object.
class BundleFile
{
public:
    explicit BundleFile(const std::string &firstLine)
        : m_path("/tmp/agatedoor-test-" + std::to_string(::getpid()) + "-customers.toml")
    {
        std::ofstream(m_path) << firstLine << "\n" << readTextFile(example).value();
    }
    ~BundleFile() { ::unlink(m_path.c_str()); }
    BundleFile(const BundleFile &) = delete;
    BundleFile &operator=(const BundleFile &) = delete;

    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

} // namespace

/// Guards against a bundle whose list of customers is empty being taken for one without the list, so that any key or none is served.
TEST(CustomerList, AnEmptyOneIsRolledOutAsSuchAndNoKeyIsServed)
{
    Deployment deployment;
    deployment.startStore();
    deployment.rollOut(BundleFile("").path());
    deployment.startNode({"node1", "sv-uppsala", "svealand"});
    deployment.startBackend({.name = "drawings", .node = "node1", .service = "ritarkiv", .heartbeatMs = 500});
    deployment.waitUntilReady(1);
    const auto statusWith = [&](const std::string &credentials) {
        HttpRequest request{"GET", "/ritarkiv", {}, ""};
        if (!credentials.empty()) {
            request.fields.push_back({"Authorization", credentials});
        }
        return ask(deployment.callers("node1"), request).status;
    };
    const auto customersInDump = [&] { return deployment.dump("node1").at("bundle").at("customers"); };
    section("without the list no key is needed", [&] {
        EXPECT_EQ(statusWith(""), 200);
        EXPECT_TRUE(customersInDump().is_null());
    });
    section("an empty list is signed off and rolled out, and from then on a key and no key are refused", [&] {
        deployment.rollOut(BundleFile("customer = []").path());
        EXPECT_TRUE(eventually([&] { return statusWith("") == 401; }));
        EXPECT_EQ(statusWith("Bearer key-1"), 401);
        EXPECT_EQ(customersInDump(), boost::json::value(0));
    });
    section("a node that is started again refuses the same", [&] {
        deployment.kill("node1");
        deployment.startNode({"node1", "sv-uppsala", "svealand"});
        deployment.waitUntilReady(1);
        EXPECT_TRUE(eventually([&] { return statusWith("Bearer key-1") == 401; })) << "503 until the store has confirmed the bundle";
        EXPECT_EQ(statusWith(""), 401);
    });
}

} // namespace agatedoor::test
