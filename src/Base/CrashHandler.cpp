#include "Base/CrashHandler.h"

#include "Base/internal/CrashLine.h"

#include <algorithm>
#include <array>
#include <climits>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <exception>
#include <span>
#include <typeinfo>

#include <cxxabi.h>
#include <elf.h>
#include <link.h>
#include <poll.h>
#include <ucontext.h>
#include <unistd.h>

namespace catkinloft {

namespace {

/// Text of fixed size, which a signal handler may read.
using Text = std::array<char, internal::CrashLine::MaxValueBytes>;

struct FatalSignal
{
    int number;
    std::string_view name;
};

constexpr std::array FatalSignals = {FatalSignal{SIGSEGV, "SIGSEGV"}, FatalSignal{SIGBUS, "SIGBUS"},
                                     FatalSignal{SIGILL, "SIGILL"}, FatalSignal{SIGFPE, "SIGFPE"},
                                     FatalSignal{SIGABRT, "SIGABRT"}};

/// Longest time for which a full pipe delays the end of the process, for each piece written.
constexpr int MaxWaitMs = 50;

/// Time between the line and the end of the process. Where a library in the process forwards what
/// is written, the last lines are lost if the process ends at once.
constexpr int ForwardingMs = 10;

struct State
{
    int fd = 1;
    Text source{};
    Text version{};
    Text build{}; ///< Build id of the program in hexadecimal digits.
    std::uintptr_t codeBegin = 0; ///< Address to which the program is loaded.
    std::uintptr_t codeEnd = 0;
    std::atomic<const CrashHandler::Unwritten *> unwritten = nullptr;
    std::atomic<std::size_t> requestsInProgress = 0;
    std::atomic<const char *> callback = nullptr;
    std::atomic<bool> isReported = false;
    std::terminate_handler previousTerminate = nullptr;
    /// Stack of the signal handlers: a stack overflow leaves no room on the other one.
    alignas(16) std::array<char, 32768> stack{};
};

State state;

void assign(Text &to, std::string_view text)
{
    const std::size_t n = std::min(text.size(), to.size() - 1);
    std::copy_n(text.data(), n, to.begin());
    to.at(n) = '\0';
}

void writeBounded(std::string_view text)
{
    while (!text.empty()) {
        pollfd it{.fd = state.fd, .events = POLLOUT, .revents = 0};
        if (poll(&it, 1, MaxWaitMs) != 1 || (it.revents & POLLOUT) == 0)
            return;
        // A writable pipe accepts PIPE_BUF bytes without blocking.
        const ssize_t n =
                write(state.fd, text.data(), std::min<std::size_t>(PIPE_BUF, text.size()));
        if (n <= 0)
            return;
        text.remove_prefix(static_cast<std::size_t>(n));
    }
}

std::string_view nameOf(int number)
{
    for (const FatalSignal &it : FatalSignals) {
        if (it.number == number)
            return it.name;
    }
    return {};
}

/// \returns the address of the instruction that \a context of a signal states; 0 if unknown.
std::uintptr_t codeAddress(const void *context)
{
    const auto *it = static_cast<const ucontext_t *>(context);
#if defined(__x86_64__)
    return static_cast<std::uintptr_t>(it->uc_mcontext.gregs[REG_RIP]);
#elif defined(__aarch64__)
    return static_cast<std::uintptr_t>(it->uc_mcontext.pc);
#else
    (void)it;
    return 0;
#endif
}

void onSignal(int number, siginfo_t *info, void *context)
{
    CrashHandler::Crash crash{.cause = "fault", .signal = nameOf(number)};
    const bool isSent = info->si_code <= 0;
    if (isSent && info->si_pid != getpid()) {
        crash.cause = "signal_received";
        crash.sender = info->si_pid;
    } else if (isSent) {
        crash.cause = "abort";
    } else {
        crash.isFault = true;
        crash.address = reinterpret_cast<std::uintptr_t>(info->si_addr);
        crash.code = codeAddress(context);
    }
    CrashHandler::report(crash);
    // The handler was reset when it was entered. An instruction that failed is run again when it
    // returns; a signal that was sent has to be sent again.
    if (isSent)
        raise(number);
}

[[noreturn]] void onTerminate()
{
    const std::type_info *type = abi::__cxa_current_exception_type();
    CrashHandler::Crash crash{.cause = type ? "exception" : "terminate"};
    char *name = type ? abi::__cxa_demangle(type->name(), nullptr, nullptr, nullptr) : nullptr;
    if (type)
        crash.exception = name ? name : type->name();
    try {
        if (type)
            throw;
    } catch (const std::exception &e) {
        crash.detail = e.what();
        CrashHandler::report(crash);
    } catch (...) {
        CrashHandler::report(crash);
    }
    CrashHandler::report(crash);
    if (state.previousTerminate)
        state.previousTerminate();
    std::abort();
}

void readBuildId(std::span<const char> notes)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    const auto aligned = [](std::size_t n) { return (n + 3) / 4 * 4; };
    while (notes.size() >= sizeof(ElfW(Nhdr))) {
        ElfW(Nhdr) head;
        std::memcpy(&head, notes.data(), sizeof head);
        const std::size_t begin = sizeof head + aligned(head.n_namesz);
        const std::size_t end = begin + aligned(head.n_descsz);
        if (end > notes.size())
            return;
        if (head.n_type == NT_GNU_BUILD_ID && 2 * head.n_descsz < state.build.size()) {
            for (std::size_t i = 0; i < head.n_descsz; ++i) {
                const auto byte = static_cast<unsigned char>(notes[begin + i]);
                state.build.at(2 * i) = Digits[byte / 16];
                state.build.at(2 * i + 1) = Digits[byte % 16];
            }
            return;
        }
        notes = notes.subspan(end);
    }
}

/// Reads where the program is loaded and its build id. The program is the first of the objects.
int readProgram(dl_phdr_info *info, std::size_t, void *)
{
    state.codeBegin = info->dlpi_addr;
    for (const ElfW(Phdr) & it : std::span(info->dlpi_phdr, info->dlpi_phnum)) {
        const std::uintptr_t begin = info->dlpi_addr + it.p_vaddr;
        if (it.p_type == PT_LOAD)
            state.codeEnd = std::max(state.codeEnd, begin + it.p_memsz);
        else if (it.p_type == PT_NOTE && it.p_align <= 4)
            // NOLINTNEXTLINE(performance-no-int-to-ptr): the system states the address as a number
            readBuildId({reinterpret_cast<const char *>(begin), it.p_memsz});
    }
    return 1;
}

bool installSignal(int number)
{
    struct sigaction before = {};
    if (sigaction(number, nullptr, &before) != 0)
        return false;
    if ((before.sa_flags & SA_SIGINFO) != 0 || before.sa_handler != SIG_DFL)
        return true;
    struct sigaction action = {};
    action.sa_sigaction = &onSignal;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK | static_cast<int>(SA_RESETHAND);
    sigemptyset(&action.sa_mask);
    return sigaction(number, &action, nullptr) == 0;
}

} // namespace

std::string CrashHandler::install(const Options &options)
{
    state.fd = options.fd;
    assign(state.source, options.source);
    assign(state.version, options.version);
    dl_iterate_phdr(&readProgram, nullptr);
    std::string failed;
    const stack_t stack{.ss_sp = state.stack.data(), .ss_flags = 0, .ss_size = state.stack.size()};
    if (sigaltstack(&stack, nullptr) != 0)
        failed += " sigaltstack";
    for (const FatalSignal &it : FatalSignals) {
        if (!installSignal(it.number))
            (failed += ' ') += it.name;
    }
    if (const auto before = std::set_terminate(&onTerminate); before != &onTerminate)
        state.previousTerminate = before;
    return failed.empty() ? failed : failed.substr(1);
}

void CrashHandler::setUnwritten(const Unwritten *unwritten) noexcept
{
    state.unwritten = unwritten;
}

void CrashHandler::setRequestsInProgress(std::size_t n) noexcept
{
    state.requestsInProgress = n;
}

const char *CrashHandler::exchangeCallback(const char *name) noexcept
{
    return state.callback.exchange(name, std::memory_order_relaxed);
}

void CrashHandler::report(const Crash &crash) noexcept
{
    if (state.isReported.exchange(true))
        return;
    if (const Unwritten *it = state.unwritten)
        writeBounded({it->data, it->size});
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    internal::CrashLine line(std::chrono::sys_time<std::chrono::milliseconds>(
            std::chrono::milliseconds(now.tv_sec * 1000 + now.tv_nsec / 1'000'000)));
    line.add("event", "process_crashed");
    line.add("level", "error");
    line.add("source", state.source.data());
    line.add("cause", crash.cause);
    if (!crash.signal.empty())
        line.add("signal", crash.signal);
    if (crash.sender != 0)
        line.add("sender_pid", static_cast<std::uint64_t>(crash.sender));
    if (!crash.exception.empty())
        line.add("exception", crash.exception);
    if (!crash.detail.empty())
        line.add("detail", crash.detail);
    if (const char *callback = state.callback)
        line.add("callback", callback);
    line.add("requests_in_progress", state.requestsInProgress.load());
    line.add("version", state.version.data());
    line.add("build", state.build.data());
    const bool isOwnCode = crash.code >= state.codeBegin && crash.code < state.codeEnd;
    if (crash.isFault) {
        line.addHex("address", crash.address);
        line.addHex(isOwnCode ? "code_offset" : "code_address",
                    isOwnCode ? crash.code - state.codeBegin : crash.code);
    }
    writeBounded(line.finish());
    poll(nullptr, 0, ForwardingMs);
}

} // namespace catkinloft
