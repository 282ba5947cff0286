#include "Request/AuthenticateFilter.h"

#include "Base/Hash.h"

namespace catkinloft {

AuthenticateFilter::AuthenticateFilter(std::function<InventoryPtr()> inventory)
    : m_inventory(std::move(inventory))
{ }

std::string_view AuthenticateFilter::bearerKey(std::string_view authorization)
{
    constexpr std::string_view Scheme = "Bearer ";
    if (!authorization.starts_with(Scheme))
        return {};
    return authorization.substr(Scheme.size());
}

void AuthenticateFilter::operator()(const RequestPtr &request, const FilterChain::Next &next) const
{
    request->inventory = m_inventory();
    if (!request->inventory) {
        next(Error{.reason = Reason::NotReady,
                   .detail = "this router has no configuration yet",
                   .retryAfter = std::chrono::seconds(1)});
        return;
    }
    const std::string_view key = bearerKey(request->header("Authorization"));
    if (key.empty()) {
        next(Error{.reason = Reason::NoKey, .detail = "expected 'Authorization: Bearer KEY'"});
        return;
    }
    request->workspace = request->inventory->workspaceByKey(sha256Hex(key));
    if (request->workspace)
        next(outcome::success());
    else
        next(Error{.reason = Reason::UnknownKey, .detail = "no workspace has this API key"});
}

} // namespace catkinloft
