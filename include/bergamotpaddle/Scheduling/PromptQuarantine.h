/// \file
/// Finds prompt parts that crash upstreams and keeps requests with such a part
/// away from them.
///
/// Load pattern: a fraction of the requests to one service carry a part on
/// which every engine crashes as soon as it begins to respond. The requests
/// come to all routers and share their other parts with sound ones. Without a
/// relation between crashes and prompts each of them ends another engine,
/// together with all responses that it was sending.
///
/// A crash makes every part suspect that was in flight there in a request whose
/// response had not begun. A response that begins clears all parts of its
/// request, so what sound requests use is cleared within moments by whichever
/// router serves it. A rarely used part that always accompanies a deadly one is
/// told from it by earlier responses. A part that remains suspect over several
/// separate crashes is quarantined: requests with it are refused, but for rare
/// trials by one router.
#pragma once

#include "bergamotpaddle/Scheduling/UpstreamView.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <set>
#include <vector>

namespace bergamotpaddle {

/// Thresholds and intervals of the quarantine.
struct PromptQuarantineOptions
{
  /// Crashes during which a part has to be suspect. Fewer would also occur for
  /// sound parts that are rarely used, while upstreams crash for other reasons.
  std::size_t m_minCrashes = 4;
  /// Crashes closer together than this count as one incident, such as the loss
  /// of a rack: above the delay with which routers notice the same crash.
  Duration m_incidentInterval = std::chrono::milliseconds(250);
  std::size_t m_minIncidents = 3;
  /// Time for other routers to report that a response with the part began: two
  /// heartbeats of the digests, since a datagram may be lost.
  Duration m_objectionTime = std::chrono::milliseconds(1000);
  /// Crashes and responses older than this are forgotten.
  Duration m_memory = std::chrono::seconds(60);
  /// Time until a quarantined part is tried again; doubled with each trial that
  /// does not clear it, up to the maximum.
  Duration m_firstTrialAfter = std::chrono::seconds(30);
  Duration m_maxTrialInterval = std::chrono::minutes(10);
  /// A quarantined part that was not tried for this long is forgotten.
  Duration m_quarantineMemory = std::chrono::hours(1);
  /// Parts that are remembered; callers choose their number.
  std::size_t m_maxParts = 4096;
  std::size_t m_maxQuarantined = 64;
  /// Number of digests that repeat a report, since datagrams may be lost.
  int m_reportRepeats = 3;
};

/// A crash as reported to other routers.
struct CrashReport
{
  std::uint32_t m_crash = 0; ///< `PromptQuarantine::CrashId` of the upstream.
  std::int64_t m_ageMs = 0;
  std::vector<std::uint64_t> m_parts; ///< Suspect parts in flight there.
  MSGPACK_DEFINE(m_crash, m_ageMs, m_parts)
  auto operator<=>(const CrashReport&) const = default;
};

/// A part with which a response began. That clears it of earlier crashes.
struct ClearedPart
{
  std::uint64_t m_part = 0;
  std::int64_t m_ageMs = 0;
  MSGPACK_DEFINE(m_part, m_ageMs)
  auto operator<=>(const ClearedPart&) const = default;
};

/// A part in quarantine.
struct QuarantinedPart
{
  std::uint64_t m_part = 0;
  std::int64_t m_ageMs = 0;      ///< Since it was quarantined or last tried.
  int m_trials = 0;              ///< Trials so far.
  std::int64_t m_crashAgeMs = 0; ///< Since the last crash that it explains.
  MSGPACK_DEFINE(m_part, m_ageMs, m_trials, m_crashAgeMs)
  auto operator<=>(const QuarantinedPart&) const = default;
};

/// What one router tells the others.
struct QuarantineReport
{
  std::vector<CrashReport> m_crashes;
  std::vector<ClearedPart> m_cleared;
  std::vector<QuarantinedPart> m_quarantined;
  MSGPACK_DEFINE(m_crashes, m_cleared, m_quarantined)
  bool IsEmpty() const
  {
    return m_crashes.empty() && m_cleared.empty() && m_quarantined.empty();
  }
  auto operator<=>(const QuarantineReport&) const = default;
};

/// A change to the quarantine, for the log.
struct QuarantineChange
{
  enum class Kind
  {
    kQuarantined,
    kAdopted, ///< Quarantined by another router.
    kTried,   ///< One request was let through.
    kCleared,
  };
  Kind m_kind = Kind::kQuarantined;
  std::uint64_t m_part = 0;
  std::size_t m_crashes = 0;   ///< For kQuarantined.
  std::size_t m_incidents = 0; ///< For kQuarantined.
  int m_trials = 0;
  auto operator<=>(const QuarantineChange&) const = default;
};

/// Whether a request may be sent.
struct PromptAdmission
{
  std::optional<Duration> m_refusedFor; ///< Until the next trial, if refused.
  bool m_isTrial = false;               ///< Sent despite a quarantined part.
  auto operator<=>(const PromptAdmission&) const = default;
};

/// One router's view of suspect and quarantined prompt parts. Performs no I/O.
///
/// The last part of a prompt belongs to its request alone; it is never suspect.
/// Of longer prompts only the first 64 parts are considered.
class PromptQuarantine
{
public:
  explicit PromptQuarantine(PromptQuarantineOptions aOptions = {});

  /// Identifies one lifetime of an upstream.
  static std::uint32_t CrashId(const UpstreamId& aUpstream,
                               std::int64_t aStartedAtMs);

  /// Records that an upstream ended the connection of a request with \p aParts
  /// before its response began.
  void NoteCrash(std::uint32_t aCrash,
                 const std::vector<PromptPart>& aParts,
                 Instant aNow);
  /// Records that the response to a request with \p aParts began.
  void NoteBegun(const std::vector<PromptPart>& aParts, Instant aNow);

  /// Sets the hook that tells whether this router may try a part again; at most
  /// one router should.
  void SetTrialOwner(std::function<bool(std::uint64_t)> aHook)
  {
    m_isTrialOwner = std::move(aHook);
  }

  /// Time until the next trial if a request with \p aParts has to be refused
  /// now; nullopt if it may be sent.
  std::optional<Duration> RefusedFor(const std::vector<PromptPart>& aParts,
                                     Instant aNow);
  /// Like `RefusedFor`, but lets one request through when a trial is due.
  PromptAdmission Admit(const std::vector<PromptPart>& aParts, Instant aNow);

  /// Returns the report for the next digest; news is repeated in
  /// `PromptQuarantineOptions::m_reportRepeats` of them, quarantined parts in
  /// all as far as they fit, in turn.
  QuarantineReport NextReport(Instant aNow);
  /// Merges the report of another router.
  void Apply(const QuarantineReport& aReport, Instant aNow);

  /// Quarantined parts, to be stored or reported.
  std::vector<QuarantinedPart> Quarantined(Instant aNow) const;
  /// Returns the changes since the last call.
  std::vector<QuarantineChange> TakeChanges();

private:
  /// Crashes during which a part was in flight without a response, since the
  /// last response with it that began.
  struct Suspicion
  {
    std::map<std::uint32_t, Instant> m_crashes; ///< Time of each crash.
    std::optional<Instant> m_thresholdAt; ///< When the thresholds were reached.
  };
  struct Quarantine
  {
    Instant m_since{}; ///< Quarantined or last tried.
    int m_trials = 0;
    Instant m_lastCrashAt{}; ///< A later response ends the quarantine.
    std::set<std::uint32_t> m_crashes; ///< That the part explains.
  };
  template<typename T>
  struct News
  {
    T m_item;
    Instant m_at{};
    int m_repeatsLeft = 0;
  };

  void Suspect(std::uint64_t aPart,
               std::uint32_t aCrash,
               Instant aAt,
               Instant aNow);
  void Clear(std::uint64_t aPart, Instant aAt, Instant aNow, bool aIsOwn);
  void TellBegun(std::uint64_t aPart, Instant aAt);
  /// Whether a part that never had a response is suspect in every crash in
  /// which \p aPart is, which has had one.
  bool IsOutweighed(std::uint64_t aPart, const Suspicion& aSuspicion) const;
  void QuarantineIfDue(std::uint64_t aPart, Instant aNow);
  bool AddQuarantine(std::uint64_t aPart, const Quarantine& aQuarantine);
  /// Whether a quarantined part without any response explains \p aCrash, so
  /// that it says nothing of other parts.
  bool IsExplained(std::uint32_t aCrash) const;
  /// Forgets old crashes and records whether the rest reach the thresholds.
  void UpdateThreshold(Suspicion& aSuspicion, Instant aNow) const;
  std::size_t Incidents(const Suspicion& aSuspicion) const;
  Duration TrialInterval(const Quarantine& aQuarantine) const;
  void ForgetOld(Instant aNow);

  PromptQuarantineOptions m_options;
  absl::flat_hash_map<std::uint64_t, Instant> m_begunAt; ///< By part.
  std::map<std::uint64_t, Suspicion> m_suspicions;       ///< By part.
  std::map<std::uint64_t, Quarantine> m_quarantines;     ///< By part.
  std::deque<News<CrashReport>> m_crashNews;
  std::deque<News<ClearedPart>> m_clearedNews;
  std::vector<QuarantineChange> m_changes;
  std::size_t m_reportRotation = 0; ///< Of quarantined parts over the reports.
  std::function<bool(std::uint64_t)> m_isTrialOwner = [](std::uint64_t) {
    return true;
  };
};

} // namespace bergamotpaddle
