#include "bergamotpaddle/Operator/ConfigChange.h"

#include "bergamotpaddle/Config/Configuration.h"

#include <absl/strings/str_cat.h>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

/// Versions are zero-padded in their keys, so that keys sort by version.
constexpr std::size_t kVersionDigits = 12;

/// One change in flight. Its pending callbacks own it.
class ChangeOperation : public std::enable_shared_from_this<ChangeOperation>
{
public:
  /// Returns the new content for the current document, or an error that ends
  /// the change.
  using MakeContent =
    std::function<absl::StatusOr<json>(const ConfigDocument&)>;

  ChangeOperation(const KeyValueHooks& aKeyValue,
                  const TimerHooks& aTimers,
                  ChangeOrigin aOrigin,
                  MakeContent aMakeContent,
                  ChangeResultHook aDone)
    : m_keyValue(aKeyValue)
    , m_timers(aTimers)
    , m_origin(std::move(aOrigin))
    , m_makeContent(std::move(aMakeContent))
    , m_done(std::move(aDone))
  {
  }

  void ReadCurrent()
  {
    m_keyValue.m_get(
      kConfigKey,
      [self = shared_from_this()](absl::StatusOr<KeyValueEntry> aEntry) {
        if (!aEntry.ok()) {
          self->RetryOrFail(aEntry.status());
          return;
        }
        self->HandleCurrent(*aEntry);
      });
  }

private:
  static constexpr int kMaxFailures = 5;
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(300);

  void HandleCurrent(const KeyValueEntry& aEntry)
  {
    ConfigDocument current;
    if (aEntry.m_revision != 0) {
      absl::StatusOr<ConfigDocument> parsed =
        ConfigDocument::FromJson(aEntry.m_value);
      if (!parsed.ok()) {
        m_done(parsed.status());
        return;
      }
      current = *parsed;
    }
    if (current.m_changeId == m_origin.m_changeId) {
      m_done(current);
      return;
    }
    if (m_attemptedVersion != 0 && current.m_version > m_attemptedVersion) {
      CheckArchivedVersion(current, aEntry);
      return;
    }
    WriteNext(current, aEntry);
  }

  /// Resolves a write whose outcome is unknown when a newer version exists: the
  /// operator that replaced version n archived it under its version key first,
  /// so the archived document shows whether this change was version n.
  void CheckArchivedVersion(const ConfigDocument& aCurrent,
                            const KeyValueEntry& aEntry)
  {
    m_keyValue.m_get(VersionKey(m_attemptedVersion),
                     [self = shared_from_this(), aCurrent, aEntry](
                       absl::StatusOr<KeyValueEntry> aArchived) {
                       if (!aArchived.ok()) {
                         self->RetryOrFail(aArchived.status());
                         return;
                       }
                       const absl::StatusOr<ConfigDocument> archived =
                         ConfigDocument::FromJson(aArchived->m_value);
                       if (archived.ok() &&
                           archived->m_changeId == self->m_origin.m_changeId) {
                         self->m_done(*archived);
                         return;
                       }
                       self->m_attemptedVersion = 0;
                       self->WriteNext(aCurrent, aEntry);
                     });
  }

  void WriteNext(const ConfigDocument& aCurrent, const KeyValueEntry& aEntry)
  {
    absl::StatusOr<json> content = m_makeContent(aCurrent);
    if (!content.ok()) {
      m_done(content.status());
      return;
    }
    ConfigDocument next;
    next.m_version = aCurrent.m_version + 1;
    next.m_changeId = m_origin.m_changeId;
    next.m_author = m_origin.m_author;
    next.m_timeMs = m_origin.m_timeMs;
    next.m_comment = m_origin.m_comment;
    next.m_content = std::move(*content);
    if (aCurrent.m_version == 0) {
      Write(next, aEntry.m_revision);
      return;
    }
    ArchiveCurrent(aCurrent, next, aEntry.m_revision);
  }

  void ArchiveCurrent(const ConfigDocument& aCurrent,
                      const ConfigDocument& aNext,
                      std::uint64_t aRevision)
  {
    m_keyValue.m_compareAndSwap(
      VersionKey(aCurrent.m_version),
      0,
      aCurrent.ToJson(),
      [self = shared_from_this(), aNext, aRevision](
        const absl::StatusOr<std::uint64_t>& aWritten) {
        // Aborted means that it is archived already: the document of a version
        // never changes.
        if (!aWritten.ok() && !absl::IsAborted(aWritten.status())) {
          self->RetryOrFail(aWritten.status());
          return;
        }
        self->Write(aNext, aRevision);
      });
  }

  void Write(const ConfigDocument& aNext, std::uint64_t aRevision)
  {
    m_attemptedVersion = aNext.m_version;
    m_keyValue.m_compareAndSwap(
      kConfigKey,
      aRevision,
      aNext.ToJson(),
      [self = shared_from_this(),
       aNext](const absl::StatusOr<std::uint64_t>& aWritten) {
        if (aWritten.ok()) {
          self->m_done(aNext);
          return;
        }
        if (absl::IsAborted(aWritten.status())) {
          self->ReadCurrent();
          return;
        }
        self->RetryOrFail(aWritten.status());
      });
  }

  void RetryOrFail(const absl::Status& aStatus)
  {
    if (++m_failures >= kMaxFailures) {
      m_done(absl::UnavailableError(absl::StrCat(
        aStatus.message(),
        "; the change may or may not be in force; retry with change id ",
        m_origin.m_changeId)));
      return;
    }
    m_timers.m_after(kRetryDelay,
                     [self = shared_from_this()] { self->ReadCurrent(); });
  }

  KeyValueHooks m_keyValue;
  TimerHooks m_timers;
  ChangeOrigin m_origin;
  MakeContent m_makeContent;
  ChangeResultHook m_done;
  std::uint64_t m_attemptedVersion = 0;
  int m_failures = 0;
};

} // namespace

std::string
ConfigDocument::ToJson() const
{
  return json{
    { "version", m_version }, { "change_id", m_changeId },
    { "author", m_author },   { "time_ms", m_timeMs },
    { "comment", m_comment }, { "content", m_content }
  }.dump();
}

absl::StatusOr<ConfigDocument>
ConfigDocument::FromJson(const std::string& aText)
{
  try {
    const json value = json::parse(aText);
    ConfigDocument document;
    document.m_version = value.at("version").get<std::uint64_t>();
    document.m_changeId = value.at("change_id").get<std::string>();
    document.m_author = value.at("author").get<std::string>();
    document.m_timeMs = value.value("time_ms", std::uint64_t{ 0 });
    document.m_comment = value.value("comment", std::string());
    document.m_content = value.at("content");
    return document;
  } catch (const std::exception& error) {
    return absl::DataLossError(
      absl::StrCat("cannot parse the configuration document: ", error.what()));
  }
}

std::string
VersionKey(std::uint64_t aVersion)
{
  const std::string digits = std::to_string(aVersion);
  return "config/version/" +
         std::string(kVersionDigits - std::min(kVersionDigits, digits.size()),
                     '0') +
         digits;
}

void
ReplaceContent(const KeyValueHooks& aKeyValue,
               const TimerHooks& aTimers,
               std::uint64_t aExpectedVersion,
               json aContent,
               ChangeOrigin aOrigin,
               ChangeResultHook aDone)
{
  auto makeContent = [aExpectedVersion, content = std::move(aContent)](
                       const ConfigDocument& aCurrent) -> absl::StatusOr<json> {
    if (aCurrent.m_version != aExpectedVersion) {
      return absl::AbortedError(
        absl::StrCat("version ",
                     aCurrent.m_version,
                     " by ",
                     aCurrent.m_author,
                     " (change ",
                     aCurrent.m_changeId,
                     ") was accepted first; review it and apply again"));
    }
    return content;
  };
  std::make_shared<ChangeOperation>(aKeyValue,
                                    aTimers,
                                    std::move(aOrigin),
                                    std::move(makeContent),
                                    std::move(aDone))
    ->ReadCurrent();
}

void
EditContent(const KeyValueHooks& aKeyValue,
            const TimerHooks& aTimers,
            std::function<absl::Status(json&)> aEdit,
            ChangeOrigin aOrigin,
            ChangeResultHook aDone)
{
  auto makeContent = [edit = std::move(aEdit)](
                       const ConfigDocument& aCurrent) -> absl::StatusOr<json> {
    if (aCurrent.m_version == 0) {
      return absl::FailedPreconditionError(
        "no configuration exists yet; apply one first");
    }
    json content = aCurrent.m_content;
    const absl::Status status = edit(content);
    if (!status.ok()) {
      return status;
    }
    return content;
  };
  std::make_shared<ChangeOperation>(aKeyValue,
                                    aTimers,
                                    std::move(aOrigin),
                                    std::move(makeContent),
                                    std::move(aDone))
    ->ReadCurrent();
}

} // namespace bergamotpaddle
