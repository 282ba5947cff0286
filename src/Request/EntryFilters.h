#pragma once

#include "Base/Error.h"
#include "Request/EntryRequest.h"

#include <functional>
#include <memory>

namespace catkinloft {

/// \brief The checks that a request passes before it is placed: framing, configuration, route and
/// API key.
///
/// A filter refuses a request with the reason. Nothing has been sent by then, so the caller may
/// retry.
class EntryFilters
{
public:
    struct Options
    {
        /// Returns the active route table, or null before the first configuration was read.
        std::function<std::shared_ptr<const RouteTable>()> routes;
        std::function<Duration()> proofAge; ///< \sa ActiveConfig::proofAge
        Duration proofLimit = std::chrono::seconds(5);
        bool requiresProof = true;
    };

    explicit EntryFilters(Options options) : m_options(std::move(options)) { }

    /// \brief Sets the maximum age of a freshness proof and whether routes with keys require one.
    void setProofRules(Duration limit, bool required)
    {
        m_options.proofLimit = limit;
        m_options.requiresProof = required;
    }

    /// \brief Runs all filters and sets the route and workspace of \a request.
    Result<void> run(EntryRequest &request) const;

    /// \returns whether API keys are accepted now: the freshness proof is young enough or not
    /// required.
    bool isProofFresh() const;

    /// \returns an error if the proof that the request's API key is still valid is too old. Has to
    /// be checked again before each attempt, because the process may have been suspended in
    /// between.
    Result<void> checkProof(const EntryRequest &request) const;

private:
    static Result<void> checkFraming(const EntryRequest &request);
    Result<void> findRoute(EntryRequest &request) const;
    Result<void> findWorkspace(EntryRequest &request) const;

    Options m_options;
};

} // namespace catkinloft
