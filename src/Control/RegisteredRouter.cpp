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
    Result<RegisteredRouter> out = readJson<RegisteredRouter>(
            root.value(), Reason::MalformedRequest, [&](const Json::Value &it) {
                return RegisteredRouter{.name = std::string(name),
                                        .callerAddress = it["caller"].asString(),
                                        .peerAddress = it["peer"].asString(),
                                        .processorShare = it["processor"].asDouble()};
            });
    const bool isValid = out && parseEndpoint(out.value().callerAddress)
            && parseEndpoint(out.value().peerAddress) && std::isfinite(out.value().processorShare)
            && out.value().processorShare > 0;
    return isValid ? out : malformed;
}

} // namespace catkinloft
