#pragma once

#include "Standin.h"

#include <cstdint>

namespace catkinloft::standin {

/// \brief The platform's transactional table service: rows with versions, compare-and-set.
class TableStandin final : public Standin
{
public:
    void handle(const HttpExchangePtr &exchange) override;

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
    };

    Json::Value rowJson(const std::string &key) const;
    Json::Value read(const Json::Value &request) const;
    Json::Value scan(const Json::Value &request) const;
    Json::Value commit(const Json::Value &request);

    std::map<std::string, Row> m_rows;
    std::uint64_t m_nextVersion = 1;
};

} // namespace catkinloft::standin
