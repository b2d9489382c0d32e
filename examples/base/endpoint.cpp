#include "agatedoor/base/endpoint.hpp"

#include <iostream>

/// @brief Reads endpoints; host names are refused by type.
int main()
{
    for (const auto *text : {"127.0.0.1:8080", "[::1]:9", "example.org:80"}) {
        const auto endpoint = agatedoor::parseEndpoint(text);
        std::cout << text << (endpoint ? " is an endpoint" : " is refused") << "\n";
    }
    return 0;
}
