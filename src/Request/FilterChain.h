#pragma once

#include "Base/Error.h"
#include "Request/RequestContext.h"

#include <functional>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief Runs requests through named filters in order until one refuses.
class FilterChain
{
public:
    using Next = std::function<void(Result<void>)>;

    /// \brief Calls \a next exactly once, immediately or later: with success to continue with the
    /// next filter, or with an error to refuse the request.
    using Filter = std::function<void(const RequestPtr &request, Next next)>;

    /// \brief Appends a filter.
    /// \param name name of the filter in metrics and logs, in snake_case.
    void add(std::string name, Filter filter);

    /// \brief Runs \a request through the filters. Calls \a done with the first refusal, or with
    /// success after the last filter. The chain has to outlive the request.
    void run(RequestPtr request, Next done) const;

private:
    struct Entry
    {
        std::string name;
        Filter filter;
    };

    void runFrom(std::size_t i, const RequestPtr &request, const Next &done) const;

    std::vector<Entry> m_filters;
};

} // namespace catkinloft
