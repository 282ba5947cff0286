#include "Base/Json.h"

#include <memory>

namespace catkinloft {

std::string printJson(const Json::Value &value)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

Result<Json::Value> parseJsonObject(std::string_view text)
{
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value root;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &root, nullptr)
            && root.isObject())
            return root;
    } catch (const Json::Exception &) {
        // Thrown if the text is nested too deeply. Treated like any other malformed text.
    }
    return Error{.reason = Reason::UpstreamBroken,
                 .verdict = Verdict::MayHaveRun,
                 .detail = "the answer is not a JSON object"};
}

} // namespace catkinloft
