#pragma once

#include "Net/HttpExchange.h"

#include <string_view>
#include <vector>

namespace catkinloft {

/// \returns whether two names of headers are the same; case does not matter.
bool sameHeader(std::string_view a, std::string_view b);

/// \brief The headers of a message that belong to its connection and are never passed on: the
/// well-known ones and those that its Connection header names.
class HopByHopHeaders
{
public:
    /// \param headers has to outlive this.
    explicit HopByHopHeaders(const HttpHeaders &headers);

    bool contains(std::string_view name) const;

private:
    std::vector<std::string_view> m_named;
};

} // namespace catkinloft
