#include "bergamotpaddle/Forwarding/TaskSupervisor.h"

#include <boost/asio/co_spawn.hpp>
#include <utility>

namespace bergamotpaddle {

namespace asio = boost::asio;

std::string
Describe(const std::exception_ptr& aException)
{
  try {
    std::rethrow_exception(aException);
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "an exception of an unknown type";
  }
}

void
TaskSupervisor::State::NoteFailure(std::string_view aName,
                                   const std::string& aReason)
{
  ++m_failures;
  if (m_onFailure) {
    m_onFailure(aName, aReason);
  }
}

void
TaskSupervisor::OnFailure(FailureHook aOnFailure)
{
  m_state->m_onFailure = std::move(aOnFailure);
}

void
TaskSupervisor::Spawn(const asio::any_io_executor& aExecutor,
                      std::string_view aName,
                      Task aTask)
{
  asio::co_spawn(aExecutor,
                 std::move(aTask),
                 [state = m_state, name = std::string(aName)](
                   const std::exception_ptr& aException) {
                   if (aException) {
                     state->NoteFailure(name, Describe(aException));
                   }
                 });
}

void
TaskSupervisor::SpawnPermanent(const asio::any_io_executor& aExecutor,
                               std::string aName,
                               TaskFactory aFactory)
{
  PermanentTask& task = m_permanent[m_nextId++];
  task.m_executor = aExecutor;
  task.m_name = std::move(aName);
  task.m_factory = std::move(aFactory);
  Start(task);
}

TaskSupervisor::Task
TaskSupervisor::RunPermanent(TaskFactory aFactory,
                             std::shared_ptr<void> /*aRunning*/,
                             std::shared_ptr<bool> aHasReturned)
{
  co_await aFactory();
  *aHasReturned = true;
}

void
TaskSupervisor::Start(PermanentTask& aTask)
{
  auto running = std::make_shared<bool>(true);
  aTask.m_running = running;
  Spawn(aTask.m_executor,
        aTask.m_name,
        RunPermanent(aTask.m_factory, std::move(running), aTask.m_hasReturned));
}

void
TaskSupervisor::RestartFailed()
{
  for (auto& [id, task] : m_permanent) {
    if (task.m_running.expired() && !*task.m_hasReturned) {
      Start(task);
    }
  }
}

void
TaskSupervisor::Run(asio::io_context& aIo)
{
  bool isDone = false;
  while (!isDone) {
    try {
      aIo.run();
      isDone = true;
    } catch (...) {
      m_state->NoteFailure("handler", Describe(std::current_exception()));
    }
  }
}

} // namespace bergamotpaddle
