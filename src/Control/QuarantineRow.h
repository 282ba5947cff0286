#pragma once

#include "Base/Clock.h"
#include "Base/TableService.h"
#include "Decide/RequestQuarantine.h"

#include <optional>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief What the platform's store has on one request that is held back, for routers that start
/// while no other router runs that could tell them.
struct QuarantineRow
{
    struct Crash
    {
        std::string replica = {}; ///< Incarnation of the replica.
        std::string software = {}; ///< \sa ReplicaRecord::software
        WallTime at = {};
        Duration runTime = ReplicaCrash::UnknownRunTime; ///< \sa ReplicaCrash::runTime
        bool isConfirmed = true; ///< \sa ReplicaCrash::isConfirmed
        bool isTrial = false; ///< \sa ReplicaCrash::isTrial
    };

    std::string fingerprint = {}; ///< \sa CrashUpdate::fingerprint
    bool isHeld = false; ///< \sa CrashUpdate::isHeld
    std::vector<Crash> crashes = {};

    /// \param now the time to which the ages in \a record refer.
    static QuarantineRow of(const CrashUpdate &record, WallTime now);

    /// \returns the row as an update, with its ages at \a now.
    CrashUpdate toUpdate(WallTime now) const;

    /// \returns whether \a other has the same crashes. Routers observe them at different times, and
    /// their run times differ with that.
    bool hasSameEvidence(const QuarantineRow &other) const;

    /// \returns the value of the row in the store; the key is \a fingerprint.
    std::string encode() const;

    /// \returns std::nullopt if \a value is not the result of encode().
    static std::optional<QuarantineRow> decode(const std::string &fingerprint,
                                               const std::string &value);
};

} // namespace catkinloft
