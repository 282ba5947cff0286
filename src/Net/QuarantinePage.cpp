#include "Net/QuarantinePage.h"

#include "Base/Json.h"

namespace catkinloft {

std::string quarantinePage(std::span<const RequestQuarantine::Hold> held)
{
    Json::Value out(Json::objectValue);
    out["held"] = Json::Value(Json::arrayValue);
    for (const RequestQuarantine::Hold &it : held) {
        Json::Value item(Json::objectValue);
        item["fingerprint"] = it.fingerprint;
        item["remaining_ms"] =
                static_cast<Json::Int64>(it.remaining / std::chrono::milliseconds(1));
        for (const std::string &part : it.tiedParts)
            item["with"].append(part);
        for (const std::string &replica : it.replicas)
            item["replicas"].append(replica);
        for (const std::string &software : it.software)
            item["software"].append(software);
        out["held"].append(item);
    }
    return printJson(out) + "\n";
}

} // namespace catkinloft
