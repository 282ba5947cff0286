#define DOCTEST_CONFIG_IMPLEMENT
#include "Base/Log.h"

#include <doctest/doctest.h>

int main(int argc, char **argv)
{
    // Log lines of the code under test would bury what failed.
    catkinloft::Log::setSink([](catkinloft::LogLevel, std::string_view) {});
    return doctest::Context(argc, argv).run();
}
