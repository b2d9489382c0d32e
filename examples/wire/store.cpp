#include "agatedoor/release/release.hpp"
#include "agatedoor/wire/etcd_store.hpp"

#include <iostream>

/// @brief Asks a store for the generation in force. Usage: example_store IP:PORT
int main(int argc, char **argv)
{
    using namespace agatedoor;
    const auto endpoint = parseEndpoint(argc > 1 ? argv[1] : "127.0.0.1:2379");
    if (!endpoint) {
        std::cout << "not an endpoint\n";
        return 1;
    }
    const Store store = makeEtcdStore({endpoint.value()});
    const auto head = readHead(store, deadlineAfter(Clock::now(), std::chrono::seconds(1)));
    if (!head) {
        std::cout << "no answer from the store\n";
        return 1;
    }
    std::cout << "generation " << (head.value() ? head.value()->generation.value : 0) << "\n";
    return 0;
}
