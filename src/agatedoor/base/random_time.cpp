#include "agatedoor/base/random_time.hpp"

namespace agatedoor {

Duration uniformTime(Random &random, Duration max)
{
    return std::chrono::duration_cast<Duration>(max * uniformUnit(random));
}

} // namespace agatedoor
