/// \file
/// Writes a holder's `ledger/<holder>` value and notices when a recovery has
/// sealed it.
#pragma once

#include "bergamotpaddle/Budget/Values.h"
#include "bergamotpaddle/Platform/KeyValue.h"

#include <memory>
#include <vector>

namespace bergamotpaddle {

/// What the writer asks of its ledger.
struct LedgerWriterHooks
{
  std::function<LedgerValue()> m_snapshot; ///< The value to write now.
  std::function<void(const LedgerValue&)>
    m_durable;                    ///< This value is in the service.
  std::function<void()> m_sealed; ///< A recovery owns the key now.
};

/// One write at a time; requests that come in meanwhile share the next one.
class LedgerWriter
{
public:
  using DoneHook = std::function<void(absl::Status)>;

  LedgerWriter(HolderId aHolder,
               KeyValueHooks aKeyValue,
               TimerHooks aTimers,
               LedgerWriterHooks aHooks);

  /// Writes a snapshot taken after this call. A success proves that the holder
  /// was not sealed at some moment after this call. `FailedPrecondition`: it
  /// is.
  void Flush(DoneHook aDone);

  bool IsSealed() const { return m_sealed; }

private:
  void Start();
  void Finish(const absl::StatusOr<KeyValueEntry>& aEntry);
  TransformResult Transform(const std::optional<std::string>& aPresent);

  HolderId m_holder;
  KeyValueHooks m_keyValue;
  TimerHooks m_timers;
  LedgerWriterHooks m_hooks;
  bool m_created = false;
  bool m_busy = false;
  bool m_sealed = false;
  LedgerValue m_written;
  std::vector<DoneHook> m_waiting; ///< For the next write.
  std::vector<DoneHook> m_started; ///< For the write under way.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace bergamotpaddle
