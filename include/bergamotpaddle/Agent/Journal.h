/// \file
/// The journal of calls that may not repeat: a call runs only after its start
/// is in the key-value service, and its start can be there once.
///
/// A service's keys hash to slots, each one value `journal/<service>/<slot>`.
/// Starts and outcomes that are ready together share one compare-and-swap, so
/// the writes a second are bounded by slots and the service's answer time, not
/// by calls. There is no lease and no owner: the same write that records a
/// start fences every other agent.
#pragma once

#include "bergamotpaddle/Platform/KeyValue.h"
#include "bergamotpaddle/Wire/Messages.h"

#include <deque>
#include <memory>
#include <set>

namespace bergamotpaddle {

/// A call in the journal.
struct JournalEntry
{
  std::string m_starter; ///< Agent life that may run it.
  std::string m_fingerprint;
  std::uint64_t m_startedAtMs = 0; ///< Wall clock; only for ageing out.
  bool m_hasOutcome = false;
  bool m_withdrawn = false; ///< Proved not to have run: the start is taken out.
  int m_httpStatus = 0;
  std::string m_contentType;
  std::string m_body;
  auto operator<=>(const JournalEntry&) const = default;
};

/// What the journal says to a start.
enum class JournalVerdict
{
  kStart,       ///< Durable: run it now, once.
  kDone,        ///< It ran before: answer with the outcome.
  kUnknown,     ///< Started by another life, no outcome: never run it again.
  kMismatch,    ///< The key names another call.
  kFull,        ///< The slot is at its bound; nothing started.
  kUnavailable, ///< The service does not answer; nothing will start.
};

/// Bounds of the journal.
struct JournalOptions
{
  std::size_t m_slots = 16;        ///< Values for each service.
  std::size_t m_maxEntries = 2000; ///< In a slot.
  std::size_t m_maxBodyBytes =
    256; ///< Of an outcome; a longer body is not kept.
  std::chrono::hours m_retention{ 24 };
};

/// One agent's view of the journal.
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

  /// Asks to start a call. kStart is given at most once for a key over all
  /// agents and lives.
  void Start(const std::string& aService,
             const AccountId& aAccount,
             const RequestKey& aKey,
             const std::string& aFingerprint,
             StartHook aDone);

  /// Records the outcome of a call that this life started; tried until it is
  /// in.
  void Finish(const std::string& aService,
              const AccountId& aAccount,
              const RequestKey& aKey,
              JournalEntry aOutcome);

  /// Takes out the start of a call that was proved not to have reached the
  /// service; until that is durable the key stays "unknown".
  void Withdraw(const std::string& aService,
                const AccountId& aAccount,
                const RequestKey& aKey);

  /// Outcomes that are not durable yet.
  std::size_t PendingOutcomes() const;

private:
  /// A start that waits for its slot's next write.
  struct PendingStart
  {
    std::string m_name;
    std::string m_fingerprint;
    StartHook m_done;
  };

  /// A slot's queue.
  struct Slot
  {
    bool m_busy = false;
    std::vector<PendingStart> m_starts;
    std::map<std::string, JournalEntry> m_outcomes;
  };

  using Entries = std::map<std::string, JournalEntry>;
  using Verdicts = std::vector<std::pair<JournalVerdict, JournalEntry>>;

  std::string SlotKey(const std::string& aService,
                      const std::string& aName) const;
  void Pump(const std::string& aSlotKey);
  TransformResult Apply(const std::optional<std::string>& aPresent,
                        const std::vector<PendingStart>& aStarts,
                        const std::map<std::string, JournalEntry>& aOutcomes,
                        Verdicts& aVerdicts);
  std::pair<JournalVerdict, JournalEntry> StartIn(Entries& aEntries,
                                                  const PendingStart& aStart);
  void Prune(Entries& aEntries) const;
  void Written(const std::string& aSlotKey,
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
  std::set<std::string> m_begun; ///< Calls that this life was told to start.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace bergamotpaddle
