#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace catkinloft {

/// \brief The software that delivered the first event of a stream, as one router tells another.
struct StreamOrigin
{
    std::string stream = {}; ///< \sa StreamOrigins::keyOf
    std::string software = {}; ///< \sa ReplicaRecord::software
    Duration lifetime = Duration::zero(); ///< How long a caller may still resume the stream.
};

/// \brief What one router knows about the origin of a stream.
struct StreamOriginReport
{
    std::optional<std::string> software = {}; ///< Software that began the stream.
    /// Software that the route's services ran within the time in which the stream can have begun.
    std::set<std::string> candidates = {};
    Duration observedFor = Duration::zero(); ///< How long the router has watched the services.
    Duration listAge = Duration::max(); ///< Age of its list of replicas.
    /// How long the router has kept every origin that it was told.
    Duration rememberedFor = Duration::zero();
};

/// \brief What a router has gathered about a stream that a caller resumes.
struct StreamOriginEvidence
{
    std::span<const StreamOriginReport> reports = {};
    /// Time in which the stream can have begun.
    Duration window = Duration::zero();
    /// Whether a list of replicas in \a reports was read after the caller resumed the stream.
    bool isListRead = false;
    std::size_t keepers = 0; ///< Routers that are told the origin of the stream; 0: not known.
    /// Of these, those that answered, \sa wouldKnowOrigin().
    std::size_t answeredKeepers = 0;
};

/// \brief Remembers which software began each resumable stream.
///
/// Handles services whose replicas run several software versions at once, while replicas and
/// routers fail and callers resume their streams at any router. Prevents streams that continue at
/// another version than the one that began them: the events of two versions do not fit together. A
/// stream whose origin nobody knows is therefore refused and never guessed.
///
/// A stream is bound by its first event that reaches the caller. The router that forwards it tells
/// a few others, which are found by the key of the stream, so that its origin is known after that
/// router was lost. Nothing has to be told while a service runs a single version: then any router
/// can prove the origin by the list of replicas, \sa proveOrigin().
class StreamOrigins
{
public:
    struct Options
    {
        const Clock &clock;
        std::size_t maxRecords = 65'536; ///< The records that expire first are dropped.
        std::function<void()> announceNow = {}; ///< Called when takeAnnouncements() has records.
    };

    /// Oldest list of replicas of a router that is in touch with the others. A router that reads it
    /// through others confirms it more often.
    static constexpr Duration MaxListAge = std::chrono::seconds(3);

    /// Time in which a caller returns after its attempt has ended.
    static constexpr Duration ReturnTime = std::chrono::seconds(10);

    explicit StreamOrigins(Options options)
        : m_options(std::move(options)), m_completeSince(m_options.clock.now())
    { }

    /// \returns the key of the stream that attempt \a id of a caller in \a workspace began. Callers
    /// of other workspaces can't refer to it.
    static std::string keyOf(std::string_view workspace, std::string_view id);

    /// \brief Records that the first event of a stream was forwarded by this router. A stream keeps
    /// the first software that was recorded for it.
    /// \param isAmbiguous other routers can't prove the origin by the list of replicas.
    void begin(const StreamOrigin &origin, bool isAmbiguous);

    /// \brief Records what other routers tell.
    void merge(std::span<const StreamOrigin> origins);

    /// \brief Announces the streams that this router began and that a caller may still resume,
    /// because another version of their service has been registered.
    void announceAll();

    /// \returns the software that began \a stream, if it is known here.
    std::optional<std::string> find(const std::string &stream) const;

    /// \returns the records that the routers which keep them have not been told.
    std::vector<StreamOrigin> takeAnnouncements();

    std::size_t size() const { return m_records.size(); }

    /// \returns for how long no record was dropped before a caller could no longer resume it.
    Duration rememberedFor() const { return m_options.clock.now() - m_completeSince; }

private:
    struct Record
    {
        std::string software;
        TimePoint expiresAt = {};
        bool isOwn = false; ///< This router forwarded the first event.
        bool isAnnounced = false;
    };

    Record &store(const StreamOrigin &origin);
    void announce(const std::string &stream, Record &record);
    void removeExpired();

    Options m_options;
    std::unordered_map<std::string, Record> m_records; ///< By key of the stream.
    std::set<std::pair<TimePoint, std::string>> m_expiry; ///< When each record expires.
    std::vector<std::string> m_pending; ///< Keys of the records to announce.
    TimePoint m_completeSince; ///< \sa rememberedFor()
};

/// \returns whether the router of \a report would know the origin of a stream that it keeps. One
/// that is out of touch with the others may have missed it.
bool wouldKnowOrigin(const StreamOriginReport &report, Duration window);

/// \returns the software that began a stream, if \a evidence proves it.
///
/// A router that knows it proves it. Otherwise only one version may have been registered in the
/// window, and an older list of replicas does not prove that no other version was added since: a
/// router that is cut off has such a list. Either a list was read after the caller resumed the
/// stream, or all keepers of the stream answered: the router that began it tells them if more than
/// one version was registered.
std::optional<std::string> proveOrigin(const StreamOriginEvidence &evidence);

} // namespace catkinloft
