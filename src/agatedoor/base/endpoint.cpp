#include "agatedoor/base/endpoint.hpp"

#include <arpa/inet.h>

#include <charconv>

namespace agatedoor {

namespace {

bool isNumericAddress(const std::string &address)
{
    in_addr v4{};
    in6_addr v6{};
    return inet_pton(AF_INET, address.c_str(), &v4) == 1 || inet_pton(AF_INET6, address.c_str(), &v6) == 1;
}

std::string withoutBrackets(std::string_view host)
{
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    return std::string(bracketed ? host.substr(1, host.size() - 2) : host);
}

} // namespace

Result<Endpoint, EndpointError> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return EndpointError::MissingPort;
    }
    Endpoint endpoint;
    endpoint.address = withoutBrackets(text.substr(0, colon));
    if (!isNumericAddress(endpoint.address)) {
        return EndpointError::BadAddress;
    }
    const auto port = text.substr(colon + 1);
    const auto *end = port.data() + port.size();
    const auto parsed = std::from_chars(port.data(), end, endpoint.port);
    if (parsed.ec != std::errc{} || parsed.ptr != end || endpoint.port == 0) {
        return EndpointError::BadPort;
    }
    return endpoint;
}

std::string toText(const Endpoint &endpoint)
{
    const bool v6 = endpoint.address.find(':') != std::string::npos;
    const std::string host = v6 ? "[" + endpoint.address + "]" : endpoint.address;
    return host + ":" + std::to_string(endpoint.port);
}

} // namespace agatedoor
