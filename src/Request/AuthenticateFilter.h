#pragma once

#include "Request/FilterChain.h"

#include <functional>

namespace catkinloft {

/// \brief Finds the workspace whose API key a request carries as `Authorization: Bearer KEY`.
class AuthenticateFilter
{
public:
    /// \param inventory returns the active inventory, or nullptr before the first one is read.
    explicit AuthenticateFilter(std::function<InventoryPtr()> inventory);

    void operator()(const RequestPtr &request, const FilterChain::Next &next) const;

    /// \returns the key in an Authorization header, or an empty text if it contains none.
    static std::string_view bearerKey(std::string_view authorization);

private:
    std::function<InventoryPtr()> m_inventory;
};

} // namespace catkinloft
