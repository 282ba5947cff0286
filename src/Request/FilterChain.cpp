#include "Request/FilterChain.h"

namespace catkinloft {

void FilterChain::add(std::string name, Filter filter)
{
    m_filters.push_back({std::move(name), std::move(filter)});
}

void FilterChain::run(RequestPtr request, Next done) const
{
    runFrom(0, request, done);
}

void FilterChain::runFrom(std::size_t i, const RequestPtr &request, const Next &done) const
{
    if (i == m_filters.size()) {
        done(outcome::success());
        return;
    }
    m_filters[i].filter(request, [this, i, request, done](Result<void> result) {
        if (result)
            runFrom(i + 1, request, done);
        else
            done(std::move(result));
    });
}

} // namespace catkinloft
