/// \file
/// Writes a holder's `ledger/<holder>` value and detects that a recovery has
/// sealed it.
#pragma once

#include "bergamotpaddle/Budget/Values.h"
#include "bergamotpaddle/Platform/KeyValue.h"

#include <memory>
#include <vector>

namespace bergamotpaddle {

/// Callbacks of a writer, implemented by its ledger.
struct LedgerWriterHooks
{
  std::function<LedgerValue()> m_snapshot; ///< Returns the value to write.
  std::function<void(const LedgerValue&)>
    m_durable; ///< The value is in the key-value service.
  std::function<void()>
    m_sealed; ///< A recovery has sealed or removed the ledger.
};

/// Runs one write at a time; flushes requested during a write share the next
/// one.
class LedgerWriter
{
public:
  using DoneHook = std::function<void(absl::Status)>;

  LedgerWriter(HolderId aHolder,
               KeyValueHooks aKeyValue,
               TimerHooks aTimers,
               LedgerWriterHooks aHooks);

  /// Writes a snapshot taken after this call. Success proves that the holder
  /// was not sealed at some time after this call; `FailedPrecondition` means
  /// that it is sealed.
  void Flush(DoneHook aDone);

  bool IsSealed() const { return m_isSealed; }

private:
  void StartWrite();
  void FinishWrite(const absl::StatusOr<KeyValueEntry>& aEntry);
  TransformResult Transform(const std::optional<std::string>& aPresent);

  HolderId m_holder;
  KeyValueHooks m_keyValue;
  TimerHooks m_timers;
  LedgerWriterHooks m_hooks;
  bool m_isCreated = false; ///< The key exists or has existed.
  bool m_isBusy = false;
  bool m_isSealed = false;
  LedgerValue m_written;                     ///< By the last or current write.
  std::vector<DoneHook> m_nextWriteHooks;    ///< For the next write.
  std::vector<DoneHook> m_currentWriteHooks; ///< For the write in progress.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace bergamotpaddle
