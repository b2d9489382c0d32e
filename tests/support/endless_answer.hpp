#pragma once

#include "agatedoor/base/time.hpp"
#include "support/raw_backend.hpp"

#include <string>
#include <vector>

/// @brief Answers to an HTTP request that never end, for tests of what a reader takes of them.
namespace agatedoor::test {

/// @brief Size of the larger parts that are sent again and again, in bytes.
inline constexpr std::size_t endlessPartBytes = 16UL * 1024;

/// @brief Bytes that are no answer, or never the whole one.
struct EndlessAnswer
{
    std::string name;
    std::string start; ///< Sent first.
    std::string again; ///< Sent again and again.
    bool fillsBody = false; ///< What is sent again is body, so that a reader takes as much as its largest body.
    Duration pause{0}; ///< Before each part.
};

/// @brief Answers without end at full speed: of each place in a message one. @p fields are whole header lines that each head starts with.
std::vector<EndlessAnswer> endlessAnswers(const std::string &fields = {});

/// @brief An answer whose body has a length but comes one byte at a time.
EndlessAnswer slowBody();

/// @brief Sends @p answer on each connection until the other end closes.
RawBackend::Script scriptOf(EndlessAnswer answer);

} // namespace agatedoor::test
