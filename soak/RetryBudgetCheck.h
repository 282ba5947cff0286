#pragma once

#include "Attempt.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include <json/json.h>

namespace catkinloft::soak {

struct RunHistory;

/// \brief The configured limit on retries of requests to one service, over all routers.
struct RetryBudget
{
    double share = 0; ///< Retries allowed per request.
    double slack = 0; ///< Additional retries allowed per window.
    std::chrono::milliseconds window = std::chrono::seconds(10);
};

/// \brief What was used of a RetryBudget in one window.
struct RetryBudgetUse
{
    WallTime from = {}; ///< Begin of the window.
    std::size_t repeated = 0; ///< Arrivals beyond the first of each request.
    std::size_t requests = 0; ///< That callers sent. \sa worstRetryBudgetUse
    double allowed = 0; ///< Limit on \a repeated.

    bool isExceeded() const { return static_cast<double>(repeated) > allowed; }
};

/// \returns the times of the arrivals of each request beyond its first, in ascending order.
/// \param arrivals as recorded by the replicas. Arrivals that a replica refused count.
/// \param isCounted whether arrivals of the request with this id count.
std::vector<WallTime> repeatedArrivals(const std::vector<Json::Value> &arrivals,
                                       const std::function<bool(const std::string &id)> &isCounted);

/// \returns the use in the window that used the largest part of its limit. The requests are those
/// sent in that window, in the one before it, or in the one that begins half a window before it,
/// whichever has most.
/// \param requests times at which callers sent the requests, in ascending order.
/// \param repeated \sa repeatedArrivals
RetryBudgetUse worstRetryBudgetUse(std::span<const WallTime> requests,
                                   std::span<const WallTime> repeated, const RetryBudget &budget);

/// \brief Checks the retry budget of each service, and reports the routers' own attempts beside the
/// arrivals.
///
/// Attempts beyond the budget show that routers permitted too many. Attempts within the budget and
/// arrivals beyond it show that attempts arrived late or without a permit.
void checkRetryBudgets(const std::map<std::string, Attempt> &attempts,
                       const std::vector<Json::Value> &arrivals, const RunHistory &history,
                       const std::function<void(std::string)> &broken);

/// \returns the worst use of the retry budget of each service, for the report.
std::string describeRetryBudgetUse(const std::map<std::string, Attempt> &attempts,
                                   const std::vector<Json::Value> &arrivals,
                                   const RunHistory &history);

} // namespace catkinloft::soak
