#define DOCTEST_CONFIG_IMPLEMENT
#include "Base/Log.h"

#include <doctest/doctest.h>

#include <csignal>

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN); // As all programs do.
    // Log lines of the code under test would bury what failed.
    catkinloft::Log::setSink([](catkinloft::LogLevel, std::string_view) {});
    return doctest::Context(argc, argv).run();
}
