/// \file
/// Decides which accepted work an upstream runs next.
///
/// Three rules: the queue is bounded and a full one refuses at once; some slots
/// are kept for short work, as many as it has used lately and at least the
/// configured number, so that it does not wait behind long work; within a
/// class the client accounts share by weight, whatever each has queued.
#pragma once

#include "bergamotpaddle/Config/AdmissionOptions.h"
#include "bergamotpaddle/Support/TypedId.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bergamotpaddle {

/// Numbers a run within one agent's life.
using RunId = std::uint64_t;

/// Work that asks for a slot.
struct AdmissionRequest
{
  RunId m_run = 0;
  AccountId m_account;
  std::uint32_t m_weight = 1;
  std::uint64_t m_cost = 0; ///< Tokens it may take.
  auto operator<=>(const AdmissionRequest&) const = default;
};

/// The slots and the queue of one upstream.
class Admission
{
public:
  explicit Admission(AdmissionOptions aOptions);

  void SetOptions(AdmissionOptions aOptions) { m_options = aOptions; }

  /// Queues work; false if the queue is full.
  bool Offer(const AdmissionRequest& aRequest);

  /// Takes the next run that may start now, if there is one.
  std::optional<RunId> TakeNext();

  /// The run has ended, or its work is not wanted any more.
  void Remove(RunId aRun);

  /// What short work that comes now competes with: runs, and short ones that
  /// wait. Waiting long work lets short work pass.
  std::size_t LoadForShort() const { return m_running.size() + m_short.size(); }
  std::size_t Running() const { return m_running.size(); }
  std::size_t Waiting() const { return m_waiting.size(); }

private:
  /// A queued run; ordered by the time at which its account's share is due.
  struct Queued
  {
    double m_due = 0;
    std::uint64_t m_order = 0;
    AdmissionRequest m_request;
    bool operator<(const Queued& aOther) const;
  };

  bool IsShort(const AdmissionRequest& aRequest) const
  {
    return aRequest.m_cost <= m_options.m_shortTokens;
  }
  std::set<Queued>& QueueOf(const AdmissionRequest& aRequest)
  {
    return IsShort(aRequest) ? m_short : m_long;
  }
  std::size_t SlotsForLong() const;
  std::optional<RunId> TakeFrom(std::set<Queued>& aQueue);

  AdmissionOptions m_options;
  std::set<Queued> m_short;
  std::set<Queued> m_long;
  std::map<RunId, Queued> m_waiting;
  std::map<RunId, bool> m_running; ///< Whether the run is short.
  std::size_t m_runningLong = 0;
  double m_shortDemand =
    0; ///< Moving average of the short runs here, seen by arriving ones.
  double m_virtualTime = 0;
  std::map<AccountId, double> m_lastDue;
  std::uint64_t m_nextOrder = 0;
};

} // namespace bergamotpaddle
