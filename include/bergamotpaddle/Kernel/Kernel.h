/// \file
/// The micro-kernel: an event loop and a registry in which the services of a
/// process find each other by name.
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

/// Owns the services of one process. Services are made in the order of their
/// registration and destroyed in the opposite order.
class Kernel
{
public:
  Kernel() = default;
  Kernel(const Kernel&) = delete;
  Kernel& operator=(const Kernel&) = delete;

  ~Kernel()
  {
    while (!m_order.empty()) {
      m_order.pop_back();
    }
  }

  EventLoop& Loop() { return m_loop; }

  /// Makes a service of type \p Service and registers it under \p aName.
  template<typename Service, typename... Arguments>
  Service& Add(std::string aName, Arguments&&... aArguments)
  {
    assert(!m_services.contains(aName) && "a service name is registered once");
    auto service =
      std::make_shared<Service>(std::forward<Arguments>(aArguments)...);
    m_services.emplace(std::move(aName), std::any(service.get()));
    m_order.push_back(service);
    return *service;
  }

  /// The service registered under \p aName; it must exist and be a \p Service.
  template<typename Service>
  Service& Find(std::string_view aName)
  {
    auto found = m_services.find(aName);
    assert(found != m_services.end() &&
           "the service must be registered before it is used");
    auto* service = std::any_cast<Service*>(&found->second);
    assert(service != nullptr && "the service must be of the type asked for");
    return **service;
  }

private:
  EventLoop m_loop;
  std::map<std::string, std::any, std::less<>> m_services;
  std::vector<std::shared_ptr<void>> m_order;
};

} // namespace bergamotpaddle
