/// \file
/// The configuration in force in one process. Its version never decreases,
/// whichever source a document comes from: the key-value service, a router or
/// an agent.
#pragma once

#include "bergamotpaddle/Config/Configuration.h"

#include <functional>
#include <memory>
#include <vector>

namespace bergamotpaddle {

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Holds the newest configuration received and notifies subscribers of changes.
class ConfigStore
{
public:
  using ChangeHook = std::function<void(const ConfigurationPtr&)>;

  ConfigStore();

  /// Puts \p aDocument in force if its version is newer; an older or equal
  /// version is ignored and is not an error. `DataLoss`: the document cannot be
  /// parsed; the current configuration stays in force.
  absl::Status Offer(const std::string& aDocument);

  /// The configuration in force; version 0 until the first document.
  const ConfigurationPtr& Current() const { return m_current; }
  /// The JSON document of Current(), to send to peers with an older version.
  const std::string& Document() const { return m_document; }

  /// Calls \p aHook after every change.
  void OnChange(ChangeHook aHook) { m_hooks.push_back(std::move(aHook)); }

private:
  ConfigurationPtr m_current;
  std::string m_document;
  std::vector<ChangeHook> m_hooks;
};

} // namespace bergamotpaddle
