#include "fleet/PortAllocator.h"

#include <doctest/doctest.h>

#include <set>

using namespace catkinloft;
using standin::PortAllocator;

namespace {

/// Two independent allocators, as in two test programs on one machine.
struct PortAllocatorFixture
{
    PortAllocator first;
    PortAllocator second;
};

} // namespace

TEST_CASE_FIXTURE(PortAllocatorFixture, "portAllocator_portsNotYetBound_areNotAllocatedTwice")
{
    std::set<std::uint16_t> all;
    for (int i = 0; i < 10; ++i) {
        for (PortAllocator *it : {&first, &second}) {
            for (const std::uint16_t port : it->take(45))
                CHECK(all.insert(port).second);
        }
    }
}

TEST_CASE("portAllocator_allocatorDestroyed_itsBlocksAreReused")
{
    // More blocks than exist in total: if destroyed allocators did not release theirs, take() would
    // run out.
    for (int i = 0; i < 300; ++i) {
        PortAllocator it;
        CHECK(it.take(1).size() == 1);
    }
}
