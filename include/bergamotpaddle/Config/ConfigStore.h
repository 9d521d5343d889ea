/// \file
/// The configuration in force in one process. Its version only rises, wherever
/// a document comes from: the key-value service, a router or an agent.
#pragma once

#include "bergamotpaddle/Config/Configuration.h"

#include <functional>
#include <memory>
#include <vector>

namespace bergamotpaddle {

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Holds the newest configuration seen and tells those who watch it.
class ConfigStore
{
public:
  using ChangeHook = std::function<void(const ConfigurationPtr&)>;

  ConfigStore();

  /// Puts \p aDocument in force if it is newer. Ok also if it is not; an error
  /// if it does not parse.
  absl::Status Offer(const std::string& aDocument);

  /// The configuration in force; version 0 before the first one.
  const ConfigurationPtr& Current() const { return m_current; }
  /// Its document, for peers that are behind.
  const std::string& Document() const { return m_document; }

  /// Runs \p aHook after every change.
  void OnChange(ChangeHook aHook) { m_hooks.push_back(std::move(aHook)); }

private:
  ConfigurationPtr m_current;
  std::string m_document;
  std::vector<ChangeHook> m_hooks;
};

} // namespace bergamotpaddle
