/// \file
/// Runs the coroutines and handlers of an event loop such that an unexpected
/// exception ends only the work that it arose in.
#pragma once

#include <utility> // Boost.Asio 1.74 uses it without including it.

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace bergamotpaddle {

/// Describes \p aException for the log.
std::string
Describe(const std::exception_ptr& aException);

/// Starts coroutines and reports the exceptions that they end with. Coroutines
/// that should run as long as the process are restarted.
class TaskSupervisor
{
public:
  using Task = boost::asio::awaitable<void>;
  using TaskFactory = std::function<Task()>;
  /// Gets the name of a task and a description of the exception.
  using FailureHook = std::function<void(std::string_view, std::string_view)>;

  /// Sets the hook for exceptions; without one they are only counted.
  void OnFailure(FailureHook aOnFailure);

  /// Starts \p aTask, which ends by itself.
  void Spawn(const boost::asio::any_io_executor& aExecutor,
             std::string_view aName,
             Task aTask);
  /// Starts the coroutine that \p aFactory returns, and again after it failed,
  /// at the next call of `RestartFailed`. It is not restarted after it
  /// returned.
  void SpawnPermanent(const boost::asio::any_io_executor& aExecutor,
                      std::string aName,
                      TaskFactory aFactory);
  /// Restarts permanent tasks that ended with an exception or were destroyed,
  /// as happens if the handler of an operation that they wait for throws.
  void RestartFailed();

  /// Runs the handlers of \p aIo until it is stopped or has no work. An
  /// exception that a handler throws is reported and ends only that handler.
  void Run(boost::asio::io_context& aIo);

  /// Number of exceptions so far.
  std::uint64_t Failures() const { return m_state->m_failures; }

private:
  /// Outlives the supervisor in the coroutines that refer to it.
  struct State
  {
    FailureHook m_onFailure;
    std::uint64_t m_failures = 0;
    void NoteFailure(std::string_view aName, const std::string& aReason);
  };
  struct PermanentTask
  {
    boost::asio::any_io_executor m_executor;
    std::string m_name;
    TaskFactory m_factory;
    std::weak_ptr<void> m_running; ///< Expires with the coroutine's frame.
    std::shared_ptr<bool> m_hasReturned = std::make_shared<bool>(false);
  };

  static Task RunPermanent(TaskFactory aFactory,
                           std::shared_ptr<void> aRunning,
                           std::shared_ptr<bool> aHasReturned);
  void Start(PermanentTask& aTask);

  std::shared_ptr<State> m_state = std::make_shared<State>();
  std::map<std::uint64_t, PermanentTask> m_permanent;
  std::uint64_t m_nextId = 1;
};

} // namespace bergamotpaddle
