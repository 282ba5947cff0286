#include "fleet/AnswerCheck.h"

#include <sstream>

#include <fmt/format.h>
#include <json/json.h>

namespace catkinloft::standin {

namespace {

Json::Value parse(const std::string &text)
{
    Json::Value out;
    Json::CharReaderBuilder builder;
    std::istringstream in(text);
    if (!Json::parseFromStream(builder, in, &out, nullptr) || !out.isObject())
        return Json::Value(Json::objectValue);
    return out;
}

bool belongsTo(const Json::Value &value, const char *member, const std::string &operation)
{
    return value[member].isString() && value[member].asString() == operation;
}

AnswerFault checkNonStreamed(const Json::Value &root, const ExpectedAnswer &expected)
{
    if (root.empty())
        return AnswerFault::Truncated;
    if (!belongsTo(root, "echo", expected.operation))
        return AnswerFault::Crossed;
    std::string text;
    for (int i = 0; i < expected.tokens; ++i)
        text += fmt::format("t{} ", i);
    return root["choices"][0]["message"]["content"] == Json::Value(text) ? AnswerFault::None
                                                                         : AnswerFault::Truncated;
}

AnswerFault checkStream(const std::string &body, const ExpectedAnswer &expected)
{
    constexpr std::string_view Data = "data: ";
    std::istringstream lines(body);
    int next = 0;
    bool ended = false;
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with(Data))
            continue;
        const std::string data = line.substr(Data.size());
        if (data == "[DONE]") {
            ended = true;
            continue;
        }
        const Json::Value chunk = parse(data);
        if (!belongsTo(chunk, "echo", expected.operation))
            return AnswerFault::Crossed;
        if (ended || chunk["choices"][0]["delta"]["content"] != fmt::format("t{} ", next++))
            return AnswerFault::Truncated;
    }
    return ended && next == expected.tokens ? AnswerFault::None : AnswerFault::Truncated;
}

} // namespace

AnswerFault checkAnswer(const HttpAnswer &answer, const ExpectedAnswer &expected)
{
    if (expected.streamed)
        return checkStream(answer.body, expected);
    const Json::Value root = parse(answer.body);
    if (expected.chat)
        return checkNonStreamed(root, expected);
    if (root.empty())
        return AnswerFault::Truncated;
    return belongsTo(root, "body", expected.operation) ? AnswerFault::None : AnswerFault::Crossed;
}

} // namespace catkinloft::standin
