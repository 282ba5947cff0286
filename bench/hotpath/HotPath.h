#pragma once

#include "ClosedLoop.h"
#include "fleet/Fleet.h"

#include <string>
#include <vector>

namespace catkinloft::bench {

/// \brief Runs one router, one engine and one replica as real processes and creates calls to them.
class HotPath
{
public:
    /// \param tokenMs milliseconds between two tokens of the engine.
    explicit HotPath(double tokenMs);

    pid_t routerPid() { return m_fleet.router(0).pid(); }

    /// \returns a call of \a kind (`call`, `chat` or `stream`) through the router.
    HttpCall routed(const std::string &kind, int tokens) const;

    /// \returns the same call, sent directly to the upstream.
    HttpCall direct(const std::string &kind, int tokens) const;

private:
    HttpCall make(const std::string &address, const std::string &kind, int tokens) const;

    standin::Fleet m_fleet;
};

/// \brief Measures how the router's costs grow with requests, tokens and open streams, and prints
/// the slopes.
/// \returns whether every request succeeded.
bool measureSlopes();

} // namespace catkinloft::bench
