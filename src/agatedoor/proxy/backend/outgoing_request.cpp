#include "outgoing_request.hpp"

#include "agatedoor/proxy/headers.hpp"

namespace agatedoor {

SpanRequest outgoingRequest(const BackendRequest &request, const StringRequest &message, TimePoint now)
{
    SpanRequest outgoing;
    outgoing.base() = message.base();
    header::strip(outgoing);
    outgoing.set(header::requestId, request.id.value);
    outgoing.set(header::depth, std::to_string(request.depth));
    if (request.repeat) {
        outgoing.set(header::repeat, "1");
    }
    outgoing.set(header::timeout, std::to_string(inMicroseconds(remaining(request.deadline, now)).count()));
    outgoing.keep_alive(true);
    outgoing.body() = beast::span<char const>(message.body().data(), message.body().size());
    return outgoing;
}

} // namespace agatedoor
