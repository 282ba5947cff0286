#include "Base/YamlSection.h"
#include "Control/ConfigTextCache.h"
#include "Control/PeerState.h"
#include "Control/QuarantineRow.h"
#include "Control/RegisteredRouter.h"
#include "Control/ReplicaUpdate.h"
#include "Control/RouterHeartbeat.h"
#include "Control/StreamOriginCodec.h"
#include "platform/ConfigDecoder.h"
#include "platform/EnginePrompts.h"
#include "platform/ReplicaEntry.h"

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <string>

using namespace catkinloft;

namespace {

/// A decoded heartbeat must be unchanged after it is encoded and decoded again.
void roundTripHeartbeat(const std::string &text)
{
    static HeartbeatCodec codec;
    const Result<RouterHeartbeat> first = codec.decode(text);
    if (!first)
        return;
    const std::string again = HeartbeatCodec::encode(first.value());
    (void)codec.unpack(text);
    const Result<RouterHeartbeat> second = codec.unpack(HeartbeatCodec::pack(first.value()));
    if (!second || HeartbeatCodec::encode(second.value()) != again)
        std::abort();
}

/// A replica entry, whoever wrote it, must decode to a replica that requests can be sent to, or be
/// rejected.
void readReplicaEntry(const std::string &text)
{
    const Result<ReplicaRecord> it = platform::decodeReplicaEntry("i-1", text);
    if (!it)
        return;
    const ReplicaRecord &record = it.value();
    if (record.slots < 1 || record.startedAt < 0 || record.service.empty()
        || !parseEndpoint(record.address))
        std::abort();
    const Result<ReplicaUpdate> decoded =
            ReplicaUpdate::decode(ReplicaUpdate{.replicas = {record}}.encode());
    if (!decoded || decoded.value().replicas.size() != 1
        || decoded.value().replicas.front().incarnation() != record.incarnation()
        || decoded.value().replicas.front().address != record.address)
        std::abort();
}

void readPeerState(const std::string &text)
{
    const Result<PeerState> state = PeerState::decode(text);
    if (!state)
        return;
    if (state.value().config)
        (void)ConfigTextCache::unpackText(state.value(), text);
    if (state.value().replicas)
        (void)state.value().replicas->text();
    (void)ReplicaUpdate::decode(text);
}

void roundTripRouterRow(const std::string &text)
{
    const Result<RegisteredRouter> first = RegisteredRouter::decode("r1", text);
    if (!first)
        return;
    const Result<RegisteredRouter> second = RegisteredRouter::decode("r1", first.value().encode());
    if (!second || second.value() != first.value())
        std::abort();
}

/// A row of a held request must decode to one that can be told to other routers, or be rejected.
void readQuarantineRow(const std::string &text)
{
    const auto row = QuarantineRow::decode("f", text);
    if (!row)
        return;
    (void)row->toUpdate(WallTime(std::chrono::milliseconds(1'700'000'000'000)));
    if (!QuarantineRow::decode("f", row->encode()))
        std::abort();
}

void readStreamOrigins(const std::string &text)
{
    (void)StreamOriginCodec::decodeOrigins("stream-origins " + text);
    (void)StreamOriginCodec::decodeQuestion(text);
    (void)StreamOriginCodec::decodeReport(text);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::string text(reinterpret_cast<const char *>(data) + 1, size - 1);
    if (data[0] == 'r')
        roundTripRouterRow(text);
    else if (data[0] == 'q')
        readQuarantineRow(text);
    else if (data[0] == 's')
        readStreamOrigins(text);
    else if (data[0] == 'c')
        (void)platform::decodeConfig(text);
    else if (data[0] == 'p')
        (void)platform::decodePromptList(text);
    else if (data[0] % 3 == 0)
        roundTripHeartbeat(text);
    else if (data[0] % 3 == 1)
        readReplicaEntry(text);
    else
        readPeerState(text);
    return 0;
}
