#include "bergamotpaddle/Scheduling/SpeedSamples.h"

namespace bergamotpaddle {

namespace {

double
Ratio(Duration aPart, Duration aWhole)
{
  return static_cast<double>(aPart.count()) /
         static_cast<double>(aWhole.count());
}

bool
IsBusy(const PlacementChoice& aChoice,
       int aSlots,
       const SpeedSampleOptions& aOptions)
{
  return aChoice.m_requests > aSlots * aOptions.m_maxUtilization;
}

} // namespace

std::optional<double>
PrefillSample(const PlacementChoice& aChoice,
              int aSlots,
              Duration aElapsed,
              double aSlowness,
              const SpeedSampleOptions& aOptions)
{
  if (IsBusy(aChoice, aSlots, aOptions) ||
      aChoice.m_nominalPrefill < aOptions.m_minPrefill ||
      Ratio(aChoice.m_backlog, aChoice.m_prefill) >
        aOptions.m_maxBacklogRatio) {
    return std::nullopt;
  }
  const double observed = static_cast<double>(aElapsed.count()) / aSlowness;
  const double prefill =
    observed -
    static_cast<double>((aOptions.m_fixedTime + aChoice.m_backlog).count());
  if (prefill <= 0) {
    return std::nullopt;
  }
  return prefill / static_cast<double>(aChoice.m_nominalPrefill.count());
}

std::optional<double>
StepSample(const PlacementChoice& aChoice,
           int aSlots,
           std::uint64_t aTokens,
           Duration aElapsed,
           Duration aTokenTime,
           const SpeedSampleOptions& aOptions)
{
  if (IsBusy(aChoice, aSlots, aOptions) ||
      aTokens < aOptions.m_minStreamTokens || aElapsed.count() <= 0) {
    return std::nullopt;
  }
  return Ratio(aElapsed, aTokenTime) / static_cast<double>(aTokens);
}

std::optional<double>
CallSample(const PlacementChoice& aChoice,
           int aSlots,
           Duration aElapsed,
           double aSlowness,
           const SpeedSampleOptions& aOptions)
{
  if (IsBusy(aChoice, aSlots, aOptions) || aElapsed.count() <= 0) {
    return std::nullopt;
  }
  return Ratio(aElapsed, aOptions.m_callTime) / aSlowness;
}

} // namespace bergamotpaddle
