#include "Control/RegisteredRouter.h"

#include "Base/Json.h"
#include "Base/YamlSection.h"

#include <cmath>

namespace catkinloft {

std::string RegisteredRouter::encode() const
{
    Json::Value root(Json::objectValue);
    root["caller"] = callerAddress;
    root["peer"] = peerAddress;
    root["processor"] = processorShare;
    return printJson(root);
}

Result<RegisteredRouter> RegisteredRouter::decode(std::string_view name, std::string_view text)
{
    const Error malformed{.reason = Reason::MalformedRequest,
                          .detail = "not a valid row of a router"};
    const Result<Json::Value> root = parseJsonObject(text);
    if (!root)
        return malformed;
    try {
        RegisteredRouter out{.name = std::string(name),
                             .callerAddress = root.value()["caller"].asString(),
                             .peerAddress = root.value()["peer"].asString(),
                             .processorShare = root.value()["processor"].asDouble()};
        const bool valid = parseEndpoint(out.callerAddress) && parseEndpoint(out.peerAddress)
                && std::isfinite(out.processorShare) && out.processorShare > 0;
        if (!valid)
            return malformed;
        return out;
    } catch (const Json::Exception &) {
        return malformed;
    }
}

} // namespace catkinloft
