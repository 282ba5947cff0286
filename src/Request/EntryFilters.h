#pragma once

#include "Base/Error.h"
#include "Request/EntryRequest.h"

#include <functional>
#include <memory>

namespace catkinloft {

/// \brief What a request passes before it is placed: framing, configuration, route, key.
///
/// Each filter refuses with the reason, so that nothing was sent and the caller may come back.
class EntryFilters
{
public:
    struct Options
    {
        std::function<std::shared_ptr<const RouteTable>()> routes; ///< Null: none in force yet.
        std::function<Duration()> proofAge; ///< \sa ActiveConfig::proofAge
        Duration proofLimit = std::chrono::seconds(5);
        bool requiresProof = true;
    };

    explicit EntryFilters(Options options) : m_options(std::move(options)) { }

    /// \brief Changes how old a proof may be, and whether keys need one.
    void setProofRules(Duration limit, bool required)
    {
        m_options.proofLimit = limit;
        m_options.requiresProof = required;
    }

    /// \brief Runs all filters and fills in route and workspace.
    Result<void> run(EntryRequest &request) const;

    /// \returns whether keys are honoured now.
    bool isProofFresh() const;

    /// \returns an error where the proof that the request's key still holds is too old. Asked again
    /// before each sending: the process may have been suspended in between.
    Result<void> checkProof(const EntryRequest &request) const;

private:
    static Result<void> checkFraming(const EntryRequest &request);
    Result<void> findRoute(EntryRequest &request) const;
    Result<void> findWorkspace(EntryRequest &request) const;

    Options m_options;
};

} // namespace catkinloft
