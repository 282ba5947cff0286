#pragma once

#include "Net/HttpClient.h"

#include <vector>

#include <sys/types.h>

namespace catkinloft::demo {

/// \brief Sends the same call repeatedly on many connections, either as fast as answers arrive or
/// at a given rate.
class RawLoad
{
public:
    struct Options
    {
        HttpCall call;
        int threads = 3;
        int connectionsEach = 16;
        double rate = 0; ///< Requests per second over all threads; 0: unlimited.
        Duration duration = std::chrono::seconds(3);
        pid_t server = 0; ///< Process whose processor time is measured.
    };

    struct Outcome
    {
        double rate = 0; ///< Answers with status 200 per second.
        int failures = 0;
        double coreShare = 0; ///< Processor time of the server divided by elapsed time.
        Duration p50 = Duration::zero();
        Duration p99 = Duration::zero();
    };

    static Outcome run(const Options &options);
};

} // namespace catkinloft::demo
