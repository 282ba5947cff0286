#pragma once

#include "Net/HttpClient.h"

#include <vector>

#include <sys/types.h>

namespace catkinloft::demo {

/// \brief Sends the same call over and over on many connections, as fast as answers come or at a
/// set rate.
class RawLoad
{
public:
    struct Options
    {
        HttpCall call;
        int threads = 3;
        int connectionsEach = 16;
        double rate = 0; ///< Requests a second of all threads; 0: as fast as answers come.
        Duration duration = std::chrono::seconds(3);
        pid_t server = 0; ///< Whose processor time is read.
    };

    struct Outcome
    {
        double rate = 0; ///< Answers with status 200 a second.
        int failures = 0;
        double coreShare = 0; ///< Processor time of the server over the time that passed.
        Duration p50 = Duration::zero();
        Duration p99 = Duration::zero();
    };

    static Outcome run(const Options &options);
};

} // namespace catkinloft::demo
