#include "agatedoor/base/random_time.hpp"

namespace agatedoor {

Duration uniformTime(Random &random, Duration most)
{
    return std::chrono::duration_cast<Duration>(most * uniformUnit(random));
}

} // namespace agatedoor
