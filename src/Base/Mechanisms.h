#pragma once

namespace catkinloft {

/// \brief Decisions that can be switched off one by one, to measure what each is worth on a load.
/// All are on unless the settings say otherwise.
struct Mechanisms
{
    bool promptPlacement =
            true; ///< Prompts go where they are kept, not where least is in progress.
    bool promptCopies = true; ///< A prompt that has to move is copied.
    bool promptAnnouncements = true; ///< Routers tell each other which prompts they sent where.
    bool promptDiscovery = true; ///< Engines are asked for kept prompts after a start.
    bool prefillTimeouts = true; ///< Engines have longer to read long prompts.
    bool announcedEjections = true; ///< Replicas that several others have ejected get nothing.
    bool loadShedding = true; ///< A share of the calls of a full service is refused at once.
    bool requestQuarantine = true; ///< Requests that end their replicas are held back.

    bool operator==(const Mechanisms &) const = default;
};

} // namespace catkinloft
