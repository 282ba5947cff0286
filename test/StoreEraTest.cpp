#include "platform/StoreEra.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using platform::StoreEra;

TEST_CASE("storeEra_missingOrMalformedHeader_lastEraIsAssumed")
{
    StoreEra era;
    CHECK(era.observe("") == 0);
    CHECK(era.observe("4") == 4);
    for (const char *it : {"", "x", "-1", "5x", " 6", "7 ", "99999999999999999999999"})
        CHECK(era.observe(it) == 4);
    CHECK(era.observe("5") == 5);
}

TEST_CASE("storeEra_answerFromAnEarlierEra_doesNotChangeTheCurrentOne")
{
    StoreEra era;
    era.observe("4");
    CHECK(era.observe("3") == 3);
    CHECK(era.current() == 4);
}
