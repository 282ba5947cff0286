#include "Request/RouteTable.h"

#include <algorithm>
#include <cctype>

namespace catkinloft {

std::string normalizedHost(std::string_view header)
{
    std::string out(header.substr(0, header.find(':')));
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

RouteTable::RouteTable(RouteConfigPtr config) : m_config(std::move(config))
{
    for (const Route &it : m_config->routes)
        m_byHost[it.host].emplace(it.pathPrefix, &it);
    for (const WorkspaceConfig &workspace : m_config->workspaces) {
        for (const std::string &key : workspace.apiKeys)
            m_byKey.emplace(key, &workspace);
    }
}

const Route *RouteTable::match(std::string_view host, std::string_view path) const
{
    const auto byPrefix = m_byHost.find(normalizedHost(host));
    if (byPrefix == m_byHost.end())
        return nullptr;
    // Every prefix ends with a slash, so only the parts of the path up to a slash can match.
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
         end = path.rfind('/', end - 1)) {
        const auto it = byPrefix->second.find(path.substr(0, end + 1));
        if (it != byPrefix->second.end())
            return it->second;
        if (end == 0)
            break;
    }
    return nullptr;
}

const WorkspaceConfig *RouteTable::workspaceOf(std::string_view key) const
{
    const auto it = m_byKey.find(key);
    return it == m_byKey.end() ? nullptr : it->second;
}

} // namespace catkinloft
