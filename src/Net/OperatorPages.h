#pragma once

#include "Base/Error.h"
#include "Base/Random.h"
#include "Base/Settings.h"
#include "Net/HttpExchange.h"
#include "Net/StatusPage.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace catkinloft {

class ConfigManager;
class ConfigPropagator;
class Membership;
class RouterDirectory;

/// \brief Serves the pages about the fleet: the address lookup, the configuration and the status.
class OperatorPages
{
public:
    struct Options
    {
        const Clock &clock;
        const Settings &settings;
        ConfigManager &config;
        ConfigPropagator &propagator;
        const Membership &membership;
        RouterDirectory &directory;
        RandomSource random;
        std::function<void(StatusReport &)> describe; ///< Adds the requests in progress.
        std::function<void(const HttpExchangePtr &, const Error &)> fail; ///< Sends a refusal.
    };

    explicit OperatorPages(Options options);

    void where(const HttpExchangePtr &exchange); ///< The router for a model or a chat.
    void status(const HttpExchangePtr &exchange); ///< As JSON.
    void statusPage(const HttpExchangePtr &exchange); ///< For a browser.
    void readConfig(const HttpExchangePtr &exchange);

    /// \brief Proposes the body as the new configuration, or with `rollback=N` the text of revision
    /// N.
    void writeConfig(const HttpExchangePtr &exchange);
    void history(const HttpExchangePtr &exchange);

private:
    std::optional<std::string> operatorOf(const HttpExchangePtr &exchange);
    void proposed(const HttpExchangePtr &exchange, const Result<std::uint64_t> &result);
    std::uint64_t revision() const;
    StatusReport report() const;

    Options m_options;
};

} // namespace catkinloft
