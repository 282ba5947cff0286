#include "fleet/PortAllocator.h"

#include <doctest/doctest.h>

#include <set>

using namespace catkinloft;
using standin::PortAllocator;

namespace {

/// Allocators as two test programs on one machine have them.
struct PortAllocatorFixture
{
    PortAllocator first;
    PortAllocator second;
};

} // namespace

TEST_CASE_FIXTURE(PortAllocatorFixture, "portAllocator_portsNotYetBound_areNotHandedToAnotherFleet")
{
    std::set<std::uint16_t> all;
    for (int i = 0; i < 10; ++i) {
        for (PortAllocator *it : {&first, &second}) {
            for (const std::uint16_t port : it->take(45))
                CHECK(all.insert(port).second);
        }
    }
}

TEST_CASE("portAllocator_allocatorGone_itsBlocksAreHandedOutAgain")
{
    // More blocks than there are in all, so that what is not given back is missed.
    for (int i = 0; i < 300; ++i) {
        PortAllocator it;
        CHECK(it.take(1).size() == 1);
    }
}
