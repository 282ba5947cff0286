#include "Base/ManualClock.h"
#include "Control/ConfigRecords.h"
#include "Control/PeerCodec.h"
#include "Control/PeerGuard.h"

#include <cstdint>
#include <cstdlib>
#include <string>

using namespace catkinloft;

namespace {

/// A decoded message must be unchanged after it is encoded and decoded again.
void roundTrip(PeerCodec &codec, const std::string &text)
{
    const Result<PeerMessage> first = codec.decode(text);
    if (!first)
        return;
    const std::string again = PeerCodec::encode(first.value());
    const Result<PeerMessage> second = codec.decode(again);
    if (!second || PeerCodec::encode(second.value()) != again)
        std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    static PeerCodec codec;
    const std::string text(reinterpret_cast<const char *>(data) + 1, size - 1);
    if (data[0] % 3 == 0) {
        roundTrip(codec, text);
    } else if (data[0] % 3 == 1) {
        const ManualClock clock;
        PeerGuard guard({.clock = clock, .self = "r", .keys = {{"k", "a-secret-of-the-fuzzer"}}});
        if (guard.open(text).fault == PeerFault::None)
            std::abort(); // The input cannot carry a valid MAC.
    } else {
        (void)config_rows::decode(text);
    }
    return 0;
}
