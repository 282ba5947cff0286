#pragma once

#include "Net/Net.h"

#include <map>
#include <string>
#include <string_view>

#include <json/json.h>

namespace catkinloft::standin {

/// \brief Simulates one external system. docs/INTERFACES.md describes the HTTP interface of each.
class Standin
{
public:
    virtual ~Standin() = default;

    virtual void handle(const HttpExchangePtr &exchange) = 0;
};

/// Body of a request that makes a replica crash. Stands for an input that triggers a fault in it.
inline constexpr std::string_view FatalBody = "fatal";

/// Id of the part of a prompt that crashes each replica that begins to answer it.
inline constexpr std::string_view FatalPart = "dead0001";

/// \returns the JSON object in the body, or an empty one if the body is not a JSON object.
Json::Value bodyObject(const HttpExchange &exchange);

/// \brief Answers with \a value as JSON.
void respondJson(HttpExchange &exchange, int status, const Json::Value &value);

/// \brief Answers 404 with an empty object.
void respondNotFound(HttpExchange &exchange);

} // namespace catkinloft::standin
