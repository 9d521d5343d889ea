/// \file
/// Admission control of one upstream: decides which accepted work runs next and
/// which is shed when the queue is full.
///
/// Some slots are reserved for short work, as many as it has used recently and
/// at least the configured number, so that it does not wait behind long work.
/// Within a class (short or long work), client accounts share by weight
/// (weighted fair queueing), regardless of how much each has queued, and an
/// account's smallest work runs first. The queue is bounded: when full, it
/// sheds the largest work of the account with the largest backlog relative to
/// its weight.
#pragma once

#include "bergamotpaddle/Config/AdmissionOptions.h"
#include "bergamotpaddle/Support/TypedId.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bergamotpaddle {

/// Identifies a run within one agent incarnation.
using RunId = std::uint64_t;

/// Work that requests a slot.
struct AdmissionRequest
{
  RunId m_run = 0;
  AccountId m_account;
  std::uint32_t m_weight = 1;
  std::uint64_t m_cost = 0; ///< Maximum number of tokens.
  auto operator<=>(const AdmissionRequest&) const = default;
};

/// The slots and the queue of one upstream.
class Admission
{
public:
  explicit Admission(AdmissionOptions aOptions);

  void SetOptions(AdmissionOptions aOptions) { m_options = aOptions; }

  /// Queues work. If the queue is full, sheds one run and returns it; it may be
  /// \p aRequest itself.
  std::optional<RunId> Offer(const AdmissionRequest& aRequest);

  /// Moves the next run that may start from the queue to a slot and returns it;
  /// nullopt if the queue is empty or no slot is available to its runs.
  std::optional<RunId> StartNext();

  /// Removes a run that has ended or is no longer needed from its slot or the
  /// queue. Ignores unknown runs.
  void Remove(RunId aRun);

  /// Number of runs that a new short run competes with: those running and
  /// queued short work. Queued long work does not count, as short work
  /// overtakes it.
  std::size_t LoadForShort() const
  {
    return m_running.size() + m_short.m_count;
  }
  std::size_t Running() const { return m_running.size(); }
  std::size_t Waiting() const { return m_waiting.size(); }

private:
  /// Position in an account's queue: smallest cost first, then order of
  /// arrival.
  struct QueuePosition
  {
    std::uint64_t m_cost = 0;
    std::uint64_t m_arrivalOrder = 0;
    RunId m_run = 0;
    auto operator<=>(const QueuePosition&) const = default;
  };

  /// Queued work of one account in a class, and the service it has received.
  struct AccountQueue
  {
    std::set<QueuePosition> m_waiting;
    std::uint32_t m_weight = 1;
    double m_served = 0;  ///< Started cost divided by weight, in virtual time.
    double m_backlog = 0; ///< Queued cost divided by weight.
  };

  /// Scheduling state of short or of long work.
  struct WorkClass
  {
    std::map<AccountId, AccountQueue>
      m_queues; ///< Of accounts with queued work.
    std::map<AccountId, double>
      m_servedByIdle; ///< m_served of accounts without queued work.
    double m_virtualTime = 0;
    std::size_t m_count = 0; ///< Number of queued runs.
  };

  bool IsShort(const AdmissionRequest& aRequest) const
  {
    return aRequest.m_cost <= m_options.m_shortTokens;
  }
  WorkClass& ClassOf(const AdmissionRequest& aRequest)
  {
    return IsShort(aRequest) ? m_short : m_long;
  }
  QueuePosition PositionOf(const AdmissionRequest& aRequest,
                           std::uint64_t aArrivalOrder) const;
  /// Slots that are not reserved for short work; at least one.
  std::size_t SlotsForLong() const;
  void SampleShortDemand();
  std::optional<RunId> StartFromClass(WorkClass& aClass);
  std::optional<RunId> PickRunToShed() const;
  void Dequeue(RunId aRun);

  /// A run in the queue.
  struct QueuedRun
  {
    AdmissionRequest m_request;
    QueuePosition m_position;
  };

  AdmissionOptions m_options;
  WorkClass m_short;
  WorkClass m_long;
  std::map<RunId, QueuedRun> m_waiting;
  std::map<RunId, bool> m_running; ///< Whether the run is short.
  std::size_t m_runningLong = 0;
  double m_shortDemand =
    0; ///< Moving average of the number of short runs, sampled at arrivals.
  std::uint64_t m_nextArrivalOrder = 0;
};

} // namespace bergamotpaddle
