#include "Net/BrittlePage.h"

#include "Base/Json.h"

namespace catkinloft {

std::string brittlePage(const std::string &router,
                        std::span<const std::shared_ptr<RejectionLimit>> limits)
{
    Json::Value out(Json::objectValue);
    out["router"] = router;
    out["brittle_services"] = Json::Value(Json::arrayValue);
    for (const auto &it : limits) {
        if (!it->isBrittle())
            continue;
        Json::Value item(Json::objectValue);
        item["service"] = it->service();
        item["max_rejections"] = it->maxRejections();
        item["reported_by"] = it->reporter();
        item["for_ms"] = static_cast<Json::Int64>(it->brittleFor() / std::chrono::milliseconds(1));
        item["rejections_per_second"] = it->worstRejections();
        item["routers"] = it->routers();
        out["brittle_services"].append(item);
    }
    return printJson(out) + "\n";
}

} // namespace catkinloft
