#include "agatedoor/state/bundle.hpp"

#include <iostream>

/// @brief Builds a bundle in code and finds the route of a request.
int main()
{
    using namespace agatedoor;
    Service catalogue;
    catalogue.name = {"catalogue"};
    Route browse;
    browse.method = "GET";
    browse.pathPrefix = "/catalogue";
    browse.service = catalogue.name;
    browse.idempotent = true;
    const auto bundle = BundleBuilder().service(catalogue).route(browse).build();
    if (!bundle) {
        std::cout << toText(bundle.error()) << "\n";
        return 1;
    }
    const Route *route = matchRoute(bundle.value(), {"localhost", "GET", "/catalogue/7"});
    std::cout << (route == nullptr ? "no route" : route->service.value) << "\n";
    return 0;
}
