#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include <sys/types.h>

namespace catkinloft::standin {

/// \brief A child process that is killed when this object is destroyed or the parent terminates.
/// Only for tests, the demo and benchmarks: the product itself starts no processes.
class ChildProcess
{
public:
    /// \param logFile receives standard output and standard error; they are discarded if it is
    /// empty.
    ChildProcess(const std::vector<std::string> &command, const std::string &logFile);

    /// \brief Kills the process if it is still running.
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t pid() const { return m_pid; }

    /// \brief Sends signal \a number, such as SIGTERM, SIGKILL, SIGSTOP or SIGCONT.
    void signal(int number);

    /// \brief Waits until the process exits.
    /// \returns the exit code, or the negated number of the signal that terminated it.
    int wait();

    /// \returns whether the process has not exited yet.
    bool isRunning();

    /// \returns how the process ended, as wait() does, if no SIGKILL or SIGTERM sent by signal()
    /// explains it. A process that got SIGTERM may exit with 0 or by the signal itself.
    std::optional<int> unrequestedEnd();

    /// \returns the exit status or signal in the result \a status of wait(), as text.
    static std::string describeEnd(int status);

private:
    pid_t m_pid = -1;
    bool m_exited = false;
    int m_status = 0;
    std::set<int> m_signals; ///< Sent to the running process.
};

} // namespace catkinloft::standin
