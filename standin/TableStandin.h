#pragma once

#include "PlatformStandin.h"

namespace catkinloft::standin {

/// \brief Simulates the platform's transactional table service: versioned rows with
/// compare-and-set.
class TableStandin final : public PlatformStandin
{
public:
    using PlatformStandin::PlatformStandin;

protected:
    bool isWrite(const HttpExchange &exchange) const override;
    Answer answer(const HttpExchange &exchange) override;

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
