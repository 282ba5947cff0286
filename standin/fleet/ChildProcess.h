#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace catkinloft::standin {

/// \brief A process that this one started, and ends with it. Only for tests, the demo and benches:
/// no part of the product starts a process.
class ChildProcess
{
public:
    /// \param logFile standard error goes there; empty: dropped.
    ChildProcess(const std::vector<std::string> &command, const std::string &logFile);

    /// \brief Kills the process if it still runs.
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t pid() const { return m_pid; }

    /// \brief Sends signal \a number, as SIGTERM, SIGKILL, SIGSTOP or SIGCONT.
    void signal(int number) const;

    /// \brief Waits for the end.
    /// \returns the exit code, or minus the signal that ended it.
    int wait();

    /// \returns whether it has not ended yet.
    bool isRunning();

private:
    pid_t m_pid = -1;
    bool m_exited = false;
    int m_status = 0;
};

} // namespace catkinloft::standin
