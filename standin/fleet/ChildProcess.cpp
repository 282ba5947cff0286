#include "fleet/ChildProcess.h"

#include <csignal>
#include <cstring>
#include <stdexcept>

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace catkinloft::standin {

namespace {

/// Runs in the child between fork and exec and therefore calls only async-signal-safe functions.
[[noreturn]] void runChild(pid_t parent, const char *logFile, char **argv)
{
    // Terminates the child when the parent is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = open(logFile, O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (getppid() == parent && fd >= 0) {
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        execv(argv[0], argv);
    }
    _exit(127);
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &command, const std::string &logFile)
{
    std::vector<char *> argv;
    argv.reserve(command.size() + 1);
    for (const std::string &it : command)
        argv.push_back(const_cast<char *>(it.c_str()));
    argv.push_back(nullptr);
    const std::string target = logFile.empty() ? std::string("/dev/null") : logFile;
    const pid_t parent = getpid();
    m_pid = fork();
    if (m_pid < 0)
        throw std::runtime_error("cannot fork to start " + command[0]);
    if (m_pid == 0)
        runChild(parent, target.c_str(), argv.data());
}

ChildProcess::~ChildProcess()
{
    if (isRunning()) {
        ::kill(m_pid, SIGKILL);
        wait();
    }
}

void ChildProcess::signal(int number)
{
    if (!isRunning())
        return;
    ::kill(m_pid, number);
    m_signals.insert(number);
}

int ChildProcess::wait()
{
    if (!m_exited) {
        waitpid(m_pid, &m_status, 0);
        m_exited = true;
    }
    return WIFEXITED(m_status) ? WEXITSTATUS(m_status) : -WTERMSIG(m_status);
}

bool ChildProcess::isRunning()
{
    if (!m_exited && waitpid(m_pid, &m_status, WNOHANG) == m_pid)
        m_exited = true;
    return !m_exited;
}

std::optional<int> ChildProcess::unrequestedEnd()
{
    if (isRunning())
        return std::nullopt;
    const int status = wait();
    const bool isKilled = status == -SIGKILL && m_signals.contains(SIGKILL);
    const bool isStopped = (status == 0 || status == -SIGTERM) && m_signals.contains(SIGTERM);
    return isKilled || isStopped ? std::nullopt : std::optional(status);
}

std::string ChildProcess::describeEnd(int status)
{
    return status < 0 ? fmt::format("signal {} ({})", -status, strsignal(-status))
                      : fmt::format("exit status {}", status);
}

} // namespace catkinloft::standin
