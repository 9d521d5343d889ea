/// \file
/// Journal of non-repeatable calls. A call runs only after its start has been
/// recorded in the key-value service, and a start can be recorded only once.
///
/// The keys of calls to a service hash to slots, each stored as one value
/// `journal/<service>/<slot>`. Starts and outcomes that are pending together
/// share one compare-and-swap, so the write rate is bounded by the number of
/// slots and the response time of the key-value service, not by the call rate.
/// No leases or owners are needed: the write that records a start fences all
/// other agents.
#pragma once

#include "bergamotpaddle/Platform/KeyValue.h"
#include "bergamotpaddle/Wire/Messages.h"

#include <deque>
#include <memory>
#include <set>

namespace bergamotpaddle {

/// Journal entry of one call.
struct JournalEntry
{
  std::string m_starter; ///< Agent incarnation that may run it.
  std::string m_fingerprint;
  std::uint64_t m_startedAtMs = 0; ///< Wall clock; used only for expiry.
  bool m_hasOutcome = false;
  bool m_isWithdrawn = false; ///< Proved not to have run: removes the start.
  int m_httpStatus = 0;
  std::string m_contentType;
  std::string m_body;
  auto operator<=>(const JournalEntry&) const = default;
};

/// The journal's decision on a start.
enum class JournalVerdict
{
  kStart,       ///< Recorded: run the call now, once.
  kDone,        ///< The call ran before: respond with its outcome.
  kUnknown,     ///< Started before, no outcome recorded: never run it again.
  kMismatch,    ///< The key was used for another call.
  kFull,        ///< The slot is full; the call does not start.
  kUnavailable, ///< No response from the key-value service; the call does not
                ///< start.
};

/// Limits of the journal.
struct JournalOptions
{
  std::size_t m_slots = 16;        ///< For each service.
  std::size_t m_maxEntries = 2000; ///< For each slot.
  std::size_t m_maxBodyBytes =
    256; ///< Of an outcome; a longer body is replaced by a short JSON note.
  std::chrono::hours m_retention{ 24 }; ///< Of an entry, from its start.
};

/// Access of one agent to the journal.
class Journal
{
public:
  using StartHook = std::function<void(JournalVerdict, JournalEntry)>;
  using WallClock =
    std::function<std::uint64_t()>; ///< Milliseconds since the epoch.

  Journal(JournalOptions aOptions,
          AgentId aAgent,
          KeyValueHooks aKeyValue,
          TimerHooks aTimers,
          WallClock aWallClock);

  /// Requests to start a call. Over all agents and incarnations, \p aDone gets
  /// kStart at most once for a key.
  void Start(const std::string& aService,
             const AccountId& aAccount,
             const RequestKey& aKey,
             const std::string& aFingerprint,
             StartHook aDone);

  /// Records the outcome of a call that this incarnation started; retried until
  /// it is durable.
  void Finish(const std::string& aService,
              const AccountId& aAccount,
              const RequestKey& aKey,
              JournalEntry aOutcome);

  /// Removes the start of a call that was proved not to have reached the
  /// service. Until the removal is durable, starts of the key get kUnknown.
  void Withdraw(const std::string& aService,
                const AccountId& aAccount,
                const RequestKey& aKey);

  /// Number of outcomes and withdrawals that are not durable yet.
  std::size_t PendingOutcomes() const;

private:
  /// A start to be included in the next write of its slot.
  struct PendingStart
  {
    std::string m_name;
    std::string m_fingerprint;
    StartHook m_done;
  };

  /// Pending changes of a slot.
  struct Slot
  {
    bool m_isBusy = false;
    std::vector<PendingStart> m_starts;
    std::map<std::string, JournalEntry> m_outcomes;
  };

  using Entries = std::map<std::string, JournalEntry>;
  using Verdicts = std::vector<std::pair<JournalVerdict, JournalEntry>>;

  std::string SlotKey(const std::string& aService,
                      const std::string& aName) const;
  /// Writes the pending changes of a slot unless a write is in progress.
  void WriteSlot(const std::string& aSlotKey);
  TransformResult ApplyPending(
    const std::optional<std::string>& aPresent,
    const std::vector<PendingStart>& aStarts,
    const std::map<std::string, JournalEntry>& aOutcomes,
    Verdicts& aVerdicts);
  std::pair<JournalVerdict, JournalEntry> TryStart(Entries& aEntries,
                                                   const PendingStart& aStart);
  /// Removes entries whose retention has ended.
  void Prune(Entries& aEntries) const;
  void OnSlotWritten(const std::string& aSlotKey,
                     std::vector<PendingStart> aStarts,
                     const std::map<std::string, JournalEntry>& aOutcomes,
                     const Verdicts& aVerdicts,
                     const absl::Status& aStatus);

  JournalOptions m_options;
  AgentId m_agent;
  KeyValueHooks m_keyValue;
  TimerHooks m_timers;
  WallClock m_wallClock;
  std::map<std::string, Slot> m_slots;
  std::set<std::string>
    m_startedCalls; ///< Calls that this incarnation started.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace bergamotpaddle
