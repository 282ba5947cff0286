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

    /// \brief A filter calls \a next exactly once: with success to go on, with an error to refuse.
    /// It may do so later.
    using Filter = std::function<void(const RequestPtr &request, Next next)>;

    /// \param name for metrics and logs, in snake_case.
    void add(std::string name, Filter filter);

    /// \brief Runs \a request; \a done gets the first refusal, or success after the last filter.
    /// The chain has to outlive the request.
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
