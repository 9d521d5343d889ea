/// \file
/// Decides which responses tell how fast an upstream is, for `EngineSpeed`.
///
/// Load pattern: under load most responses wait for others first, and their
/// durations tell more about the queue than about the upstream. Only responses
/// whose nominal duration is well determined are samples.
#pragma once

#include "bergamotpaddle/Scheduling/Placement.h"

#include <optional>

namespace bergamotpaddle {

/// Which responses are samples.
struct SpeedSampleOptions
{
  /// Shortest nominal prefill time whose ratio isn't lost in delays of routers
  /// and links, which take a few milliseconds.
  Duration m_minPrefill = std::chrono::milliseconds(16);
  /// Largest backlog ahead of a prompt, relative to its own prefill time.
  double m_maxBacklogRatio = 0.25;
  /// Largest utilization of the upstream's slots when the request was sent.
  double m_maxUtilization = 0.25;
  /// Time to the first event that doesn't depend on the prompt's length: one
  /// decoding step and the way there and back.
  Duration m_fixedTime = std::chrono::milliseconds(10);
  /// Number of tokens after the first event from which a stream is long enough.
  std::uint64_t m_minStreamTokens = 40;
  /// Nominal duration of a call without a stream. Such calls are compared only
  /// with each other.
  Duration m_callTime = std::chrono::milliseconds(10);
};

/// Returns the observed prefill time relative to the nominal one, if the first
/// event of a request placed by \p aChoice arrived \p aElapsed after sending at
/// an upstream with \p aSlots and a momentary slowness of \p aSlowness.
std::optional<double>
PrefillSample(const PlacementChoice& aChoice,
              int aSlots,
              Duration aElapsed,
              double aSlowness,
              const SpeedSampleOptions& aOptions = {});

/// Returns the observed time per token relative to \p aTokenTime, if \p aTokens
/// arrived within \p aElapsed after the first event.
std::optional<double>
StepSample(const PlacementChoice& aChoice,
           int aSlots,
           std::uint64_t aTokens,
           Duration aElapsed,
           Duration aTokenTime,
           const SpeedSampleOptions& aOptions = {});

/// Returns the duration of a call without a stream relative to the nominal one.
std::optional<double>
CallSample(const PlacementChoice& aChoice,
           int aSlots,
           Duration aElapsed,
           double aSlowness,
           const SpeedSampleOptions& aOptions = {});

} // namespace bergamotpaddle
