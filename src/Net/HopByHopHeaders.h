#pragma once

#include "Net/HttpExchange.h"

#include <string_view>
#include <vector>

namespace catkinloft {

/// \returns whether two header names are equal, compared without case.
bool sameHeader(std::string_view a, std::string_view b);

/// \brief The hop-by-hop headers of a message, which are never forwarded: the well-known ones and
/// those named by its Connection header.
class HopByHopHeaders
{
public:
    /// \param headers must outlive this object.
    explicit HopByHopHeaders(const HttpHeaders &headers);

    bool contains(std::string_view name) const;

private:
    std::vector<std::string_view> m_named;
};

} // namespace catkinloft
