#include "Net/internal/Dispatch.h"

#include "Base/Log.h"
#include "Base/LogSampler.h"

#include <functional>
#include <map>
#include <string>

namespace catkinloft::internal {

namespace {

std::uint64_t dropped = 0;

void logDropped(std::string_view source, std::string_view detail)
{
    static std::map<std::string, LogSampler, std::less<>> samplers;
    auto it = samplers.find(source);
    if (it == samplers.end())
        it = samplers.emplace(source, LogSampler()).first;
    if (it->second.add())
        Log::error("message_dropped",
                   {{"callback", source}, {"detail", detail}, {"total", it->second.total()}});
}

} // namespace

void noteDropped(std::string_view source, std::string_view detail) noexcept
{
    ++dropped;
    try {
        logDropped(source, detail);
    } catch (...) { // NOLINT(bugprone-empty-catch): no memory is left for a line
    }
}

std::uint64_t droppedMessages() noexcept
{
    return dropped;
}

} // namespace catkinloft::internal
