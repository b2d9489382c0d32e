#include "agatedoor/decide/knee.hpp"

#include <algorithm>
#include <cmath>

namespace agatedoor {

namespace {

bool nearlyFull(const KneeSample &sample, const KneeOptions &options)
{
    return static_cast<double>(sample.running) > options.loadedShare * static_cast<double>(sample.slots.value);
}

bool hasEnoughSamples(const KneeAverage &average, const KneeOptions &options, TimePoint now)
{
    return average.samples >= options.minSamples && now - average.sampledAt < options.maxSampleAge;
}

} // namespace

void recordSample(Knee &knee, const KneeSample &sample, const KneeOptions &options, TimePoint now)
{
    KneeAverage &average = nearlyFull(sample, options) ? knee.above : knee.below;
    if (now - average.sampledAt >= options.maxSampleAge) {
        average = {};
    }
    average.samples = std::min(average.samples + 1, options.minSamples);
    average.sampledAt = now;
    const double seconds = std::chrono::duration<double>(sample.serviceTime).count();
    average.seconds += (seconds - average.seconds) / average.samples;
}

Slots kneeLimit(const Knee &knee, Slots announced, const KneeOptions &options, TimePoint now)
{
    const auto share = static_cast<std::int64_t>(std::floor(options.loadedShare * static_cast<double>(announced.value)));
    const Slots below{std::max<std::int64_t>(1, share)};
    if (!hasEnoughSamples(knee.below, options, now)) {
        return below;
    }
    const bool slower = hasEnoughSamples(knee.above, options, now) && knee.above.seconds > options.toleratedRatio * knee.below.seconds;
    return slower ? below : announced;
}

} // namespace agatedoor
