/// \file
/// Decides which accepted work an upstream runs next, and which it gives back.
///
/// Three rules. Some slots are kept for short work, as many as it has used
/// lately and at least the configured number, so that it does not wait behind
/// long work. Within a class the client accounts share by weight, whatever each
/// has queued, and an account's smallest work goes first. The queue is bounded:
/// a full one gives back the largest work of the account that queues the most
/// beyond its share.
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

  /// Queues work. With a full queue some work has to go: the run returned,
  /// which may be the one offered.
  std::optional<RunId> Offer(const AdmissionRequest& aRequest);

  /// Takes the next run that may start now, if there is one.
  std::optional<RunId> TakeNext();

  /// The run has ended, or its work is not wanted any more.
  void Remove(RunId aRun);

  /// What short work that comes now competes with: runs, and short ones that
  /// wait. Waiting long work lets short work pass.
  std::size_t LoadForShort() const
  {
    return m_running.size() + m_short.m_count;
  }
  std::size_t Running() const { return m_running.size(); }
  std::size_t Waiting() const { return m_waiting.size(); }

private:
  /// Orders an account's work: the smallest first, then in order of arrival.
  struct Place
  {
    std::uint64_t m_cost = 0;
    std::uint64_t m_order = 0;
    RunId m_run = 0;
    auto operator<=>(const Place&) const = default;
  };

  /// What one account has waiting in a class, and how much it was served.
  struct Share
  {
    std::set<Place> m_waiting;
    std::uint32_t m_weight = 1;
    double m_served = 0;  ///< Cost by weight, in the class's virtual time.
    double m_backlog = 0; ///< Waiting cost by weight.
  };

  /// Short or long work.
  struct WorkClass
  {
    std::map<AccountId, Share> m_shares; ///< Of accounts with waiting work.
    std::map<AccountId, double> m_past;  ///< Served, of accounts without.
    double m_virtualTime = 0;
    std::size_t m_count = 0;
  };

  bool IsShort(const AdmissionRequest& aRequest) const
  {
    return aRequest.m_cost <= m_options.m_shortTokens;
  }
  WorkClass& ClassOf(const AdmissionRequest& aRequest)
  {
    return IsShort(aRequest) ? m_short : m_long;
  }
  Place PlaceOf(const AdmissionRequest& aRequest, std::uint64_t aOrder) const;
  std::size_t SlotsForLong() const;
  void NoteShortDemand();
  std::optional<RunId> TakeFrom(WorkClass& aClass);
  std::optional<RunId> MostBeyondShare() const;
  void Dequeue(RunId aRun);

  /// A waiting run.
  struct Queued
  {
    AdmissionRequest m_request;
    Place m_place;
  };

  AdmissionOptions m_options;
  WorkClass m_short;
  WorkClass m_long;
  std::map<RunId, Queued> m_waiting;
  std::map<RunId, bool> m_running; ///< Whether the run is short.
  std::size_t m_runningLong = 0;
  double m_shortDemand =
    0; ///< Moving average of the short runs here, seen by arriving ones.
  std::uint64_t m_nextOrder = 0;
};

} // namespace bergamotpaddle
