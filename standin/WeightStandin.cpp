#include "WeightStandin.h"

namespace catkinloft::standin {

bool WeightStandin::isWrite(const HttpExchange &exchange) const
{
    return exchange.method() != "GET";
}

PlatformStandin::Answer WeightStandin::answer(const HttpExchange &exchange)
{
    constexpr std::string_view Prefix = "/v1/weights/";
    const std::string_view path = exchange.path();
    const std::string_view rest = path.substr(std::min(path.size(), Prefix.size()));
    const std::size_t slash = rest.find('/');
    if (!path.starts_with(Prefix) || slash == std::string_view::npos || slash + 1 == rest.size())
        return jsonAnswer(404, Json::Value(Json::objectValue));
    Json::Value out;
    out["model"] = std::string(rest.substr(0, slash));
    out["version"] = std::string(rest.substr(slash + 1));
    out["bytes"] = 1 << 20;
    return jsonAnswer(200, out);
}

} // namespace catkinloft::standin
