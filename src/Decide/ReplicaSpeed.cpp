#include "Decide/ReplicaSpeed.h"

#include <algorithm>
#include <cmath>

namespace catkinloft {

namespace {

/// Samples before the baseline is used; until then a single slow call could define the usual time.
constexpr int MinBaselineSamples = 10;

/// Relative step of the running median per sample. The first steps are larger, so that it does not
/// depend on the first sample.
constexpr double BaselineStep = 0.03;
constexpr double FirstBaselineStep = 0.5;

/// The learned time is an average of about this number of samples.
constexpr int MaxSamples = 16;

/// Weight of the usual time in the average, in samples: one slow stream is no evidence.
constexpr int PriorSamples = 3;

/// A sample counts at most as this multiple of the estimate. Of the streams on shared machines one
/// in four runs partly during a slow phase; without the limit their number would decide which of
/// the equal replicas look slow.
constexpr double MaxSampleRatio = 1.5;

/// A learned time below this value counts as usual: averages of 16 samples differ by a tenth among
/// equal replicas.
constexpr double MinRelativeTime = 1.15;

/// \returns the part of 1 that remains at \a age of something that decays over \a lifetime.
double remaining(Duration age, Duration lifetime)
{
    return std::clamp(1 - toSeconds(age) / toSeconds(lifetime), 0.0, 1.0);
}

} // namespace

double ReplicaSpeed::Baseline::observe(Duration time)
{
    const double seconds = toSeconds(time);
    if (seconds <= 0)
        return 1;
    if (m_samples < MinBaselineSamples)
        ++m_samples;
    if (m_seconds == 0)
        m_seconds = seconds;
    const double ratio = seconds / m_seconds;
    const double step =
            m_samples < MinBaselineSamples ? FirstBaselineStep / m_samples : BaselineStep;
    if (ratio > 1)
        m_seconds *= 1 + step;
    else if (ratio < 1)
        m_seconds /= 1 + step;
    return m_samples < MinBaselineSamples ? 1 : ratio;
}

void ReplicaSpeed::observe(double ratio, TimePoint now)
{
    if (!std::isfinite(ratio) || ratio <= 0)
        return;
    m_samples = std::min(m_samples + 1, MaxSamples);
    const double limited = std::min(ratio, m_relativeTime * MaxSampleRatio);
    m_relativeTime += (limited - m_relativeTime) / (m_samples + PriorSamples);
    m_relativeTime = std::clamp(m_relativeTime, 1 / MaxFactor, MaxFactor);
    m_sampledAt = now;
}

void ReplicaSpeed::paceReported(double pace, TimePoint now)
{
    // The comparison is false for a value that is not a number.
    m_pace = pace >= 1 ? std::min(pace, MaxFactor) : 1;
    m_reportedAt = now;
}

double ReplicaSpeed::learnedTime(TimePoint now) const
{
    const double time = 1 + (m_relativeTime - 1) * remaining(now - m_sampledAt, SampleLifetime);
    return time < MinRelativeTime ? 1 : time;
}

double ReplicaSpeed::pace(TimePoint now) const
{
    return 1 + (m_pace - 1) * remaining(now - m_reportedAt, PaceLifetime);
}

} // namespace catkinloft
