#pragma once

#include "Base/Error.h"
#include "Base/Random.h"
#include "Base/Settings.h"
#include "Net/HttpExchange.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace catkinloft {

class ConfigKeeper;
class RouterDirectory;

/// \brief The pages about the fleet itself: the address answer, the configuration and the status.
class OperatorPages
{
public:
    struct Options
    {
        const Settings &settings;
        ConfigKeeper &config;
        RouterDirectory &directory;
        RandomSource random;
        std::function<std::size_t()> inProgress;
        std::function<void(const HttpExchangePtr &, const Error &)> fail; ///< Answers a refusal.
    };

    explicit OperatorPages(Options options);

    void where(const HttpExchangePtr &exchange);
    void status(const HttpExchangePtr &exchange);
    void readConfig(const HttpExchangePtr &exchange);
    void writeConfig(const HttpExchangePtr &exchange);

private:
    std::optional<std::string> operatorOf(const HttpExchangePtr &exchange);
    std::uint64_t revision() const;

    Options m_options;
};

} // namespace catkinloft
