#include "Request/EntryFilters.h"

#include "Request/RequestFraming.h"

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// Safety margin below the limit of the proof's age. It covers the time between the caller's
/// sending of a request and the check here.
constexpr Duration ProofMargin = 200ms;

/// Retry-After of a router without a fresh proof. In this time it tries several times to reach the
/// store and its peers.
constexpr Duration ProofRetryAfter = 700ms;

/// Retry-After of a router without a configuration. A process that has just started reads it within
/// a few round trips to the store.
constexpr Duration StartupRetryAfter = 300ms;

} // namespace

Result<void> EntryFilters::run(EntryRequest &request) const
{
    BOOST_OUTCOME_TRYV(checkFraming(request));
    BOOST_OUTCOME_TRYV(findRoute(request));
    BOOST_OUTCOME_TRYV(findWorkspace(request));
    return checkProof(request);
}

Result<void> EntryFilters::checkFraming(const EntryRequest &request)
{
    BOOST_OUTCOME_TRYV(catkinloft::checkFraming(request.method, request.target, request.headers));
    if (request.facts.id.empty())
        return Error{.reason = Reason::MalformedRequest, .detail = "the request has no id"};
    return outcome::success();
}

Result<void> EntryFilters::findRoute(EntryRequest &request) const
{
    request.routes = m_options.routes();
    if (!request.routes)
        return Error{.reason = Reason::NotReady,
                     .detail = "no configuration has been read yet",
                     .retryAfter = StartupRetryAfter};
    request.route = request.routes->match(request.host, request.path);
    if (!request.route)
        return Error{.reason = Reason::NotFound, .detail = "no route matches this host and path"};
    return outcome::success();
}

bool EntryFilters::isProofFresh() const
{
    return !m_options.requiresProof || m_options.proofAge() <= m_options.proofLimit - ProofMargin;
}

Result<void> EntryFilters::findWorkspace(EntryRequest &request) const
{
    if (!request.route->needsKey) {
        // The route needs no key, so a key that may have been revoked is ignored.
        request.workspace =
                isProofFresh() ? request.routes->workspaceOf(request.facts.key) : nullptr;
        return outcome::success();
    }
    request.workspace = request.routes->workspaceOf(request.facts.key);
    if (request.workspace)
        return outcome::success();
    const bool none = request.facts.key.empty();
    return Error{.reason = none ? Reason::NoKey : Reason::UnknownKey,
                 .detail =
                         none ? "the route requires an API key" : "no workspace has this API key"};
}

Result<void> EntryFilters::checkProof(const EntryRequest &request) const
{
    if (!request.route->needsKey || isProofFresh())
        return outcome::success();
    const Duration age = m_options.proofAge();
    return Error{.reason = Reason::StoreUnavailable,
                 .detail = "can't verify that the API key is still valid: the store is unavailable",
                 .retryAfter = ProofRetryAfter,
                 .rule = "key_proof.limit",
                 .figures = {{"proof_age_ms", toSeconds(age) * 1000}}};
}

} // namespace catkinloft
