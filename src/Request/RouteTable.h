#pragma once

#include "Base/RouteConfig.h"

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace catkinloft {

/// \brief Looks up the route of a request and the workspace of an API key in one configuration.
class RouteTable
{
public:
    explicit RouteTable(RouteConfigPtr config);

    /// \brief Finds a route. Handles configurations with hundreds of routes, because the cost
    /// depends only on the depth of the path.
    /// \param host value of the Host header; case and port are ignored.
    /// \returns the route with the longest prefix of \a path, or null.
    const Route *match(std::string_view host, std::string_view path) const;

    /// \returns the workspace with the API key \a key, or null.
    const WorkspaceConfig *workspaceOf(std::string_view key) const;

    const RouteConfig &config() const { return *m_config; }

private:
    struct TextHash
    {
        using is_transparent = void; // NOLINT(readability-identifier-naming): name from std
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>()(text);
        }
    };
    template<typename T>
    using TextMap = std::unordered_map<std::string, T, TextHash, std::equal_to<>>;

    RouteConfigPtr m_config;
    TextMap<TextMap<const Route *>> m_byHost; ///< By host, then by path prefix.
    TextMap<const WorkspaceConfig *> m_byKey;
};

/// \returns the host part of a Host header in lower case.
std::string normalizedHost(std::string_view header);

} // namespace catkinloft
