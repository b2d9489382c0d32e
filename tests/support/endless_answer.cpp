#include "support/endless_answer.hpp"

#include <thread>
#include <utility>

namespace agatedoor::test {

namespace {

using namespace std::chrono_literals;

const std::string statusLine = "HTTP/1.1 200 OK\r\n";
const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";

} // namespace

std::vector<EndlessAnswer> endlessAnswers(const std::string &fields)
{
    const std::string head = statusLine + fields;
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string x(endlessPartBytes, 'x');
    const std::string field = "X-More: " + std::string(100, 'y') + "\r\n";
    return {
        {.name = "one endless line", .start = "HTTP/1.1 200 ", .again = x},
        {.name = "endless header fields", .start = head, .again = field},
        {.name = "endless informational responses", .start = interim, .again = interim},
        {.name = "an endless chunk extension", .start = chunked + "1;", .again = x},
        {.name = "endless trailers", .start = chunked + "1\r\na\r\n0\r\n", .again = field},
        {.name = "chunks for ever", .start = chunked, .again = "4000\r\n" + x + "\r\n", .fillsBody = true},
        {.name = "a body without a length for ever", .start = head + "Connection: close\r\n\r\n", .again = x, .fillsBody = true},
    };
}

EndlessAnswer slowBody()
{
    return {.name = "a body one byte at a time", .start = statusLine + "Content-Length: 100000\r\n\r\n", .again = "x", .pause = 20ms};
}

RawBackend::Script scriptOf(EndlessAnswer answer)
{
    return [answer = std::move(answer)](std::size_t part) {
        std::this_thread::sleep_for(answer.pause);
        return part == 0 ? answer.start : answer.again;
    };
}

} // namespace agatedoor::test
