/// \file
/// The microkernel of a process: an event loop and a registry of services by
/// name.
#pragma once

#include "bergamotpaddle/Kernel/EventLoop.h"

#include <any>
#include <cassert>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotpaddle {

/// Owns the services of one process. Services are constructed in the order of
/// their registration and destroyed in reverse order.
class Kernel
{
public:
  Kernel() = default;
  Kernel(const Kernel&) = delete;
  Kernel& operator=(const Kernel&) = delete;

  ~Kernel()
  {
    while (!m_servicesInOrder.empty()) {
      m_servicesInOrder.pop_back();
    }
  }

  EventLoop& Loop() { return m_loop; }

  /// Constructs a \p Service from \p aArguments and registers it as \p aName,
  /// which must not be registered yet.
  template<typename Service, typename... Arguments>
  Service& Add(std::string aName, Arguments&&... aArguments)
  {
    assert(!m_services.contains(aName) &&
           "the service name must not be registered yet");
    auto service =
      std::make_shared<Service>(std::forward<Arguments>(aArguments)...);
    m_services.emplace(std::move(aName), std::any(service.get()));
    m_servicesInOrder.push_back(service);
    return *service;
  }

  /// Returns the service registered as \p aName, which must exist and be of
  /// type \p Service.
  template<typename Service>
  Service& Find(std::string_view aName)
  {
    auto found = m_services.find(aName);
    assert(found != m_services.end() &&
           "the service must be registered before it is used");
    auto* service = std::any_cast<Service*>(&found->second);
    assert(service != nullptr && "the service must have the requested type");
    return **service;
  }

private:
  EventLoop m_loop;
  std::map<std::string, std::any, std::less<>> m_services;
  std::vector<std::shared_ptr<void>> m_servicesInOrder; ///< Of registration.
};

} // namespace bergamotpaddle
