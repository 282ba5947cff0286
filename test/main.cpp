#define DOCTEST_CONFIG_IMPLEMENT
#include "Base/Log.h"

#include <doctest/doctest.h>

#include <csignal>

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN); // As in the programs under test.
    // Discards log lines, which would make failed checks hard to find in the output.
    catkinloft::Log::setSink([](catkinloft::LogLevel, std::string_view) {});
    return doctest::Context(argc, argv).run();
}
