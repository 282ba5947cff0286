#pragma once

#include "Base/Clock.h"
#include "Base/Error.h"
#include "Base/InventoryParser.h"
#include "Base/ObjectStore.h"
#include "Base/Random.h"
#include "Base/TableService.h"
#include "Control/ConfigRecords.h"

#include <sigc++/signal.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief A change of the configuration that an operator proposes.
struct ConfigChange
{
    std::string text = {}; ///< The whole new inventory, YAML.
    std::uint64_t base = 0; ///< Revision that it was made against.
    std::string changeId = {}; ///< The operator's; a repeated one gets the first result.
    std::string author = {};
};

/// \brief Keeps the configuration in force: a chain of revisions whose head is one row in the
/// table service, moved by compare-and-set. Applies only higher revisions.
///
/// Load: 25,000 changes a day, from operators who race each other, at a store that can be away and
/// whose answers can get lost.
class ConfigManager
{
public:
    struct Options
    {
        TableService &table;
        ObjectStore &objects;
        const Clock &clock;
        RandomSource random;
        std::function<void(Duration, std::function<void()>)> after; ///< Runs something later.
    };

    explicit ConfigManager(Options options);

    /// \returns the inventory in force; nullptr before the first one.
    InventoryPtr current() const { return m_current; }

    /// \returns the YAML text that current() was parsed from.
    const std::string &text() const { return m_text; }

    /// \returns revision and hash in force; revision 0 before the first one.
    const ConfigDigest &digest() const { return m_digest; }

    /// \returns when the table service last confirmed the head; TimePoint::min() before.
    TimePoint lastConfirmed() const { return m_lastConfirmed; }

    /// \brief Reads the head and takes over a higher revision.
    void refresh();

    /// \brief Takes over a body that a peer holds as \a digest, if it is higher and whole.
    /// \returns whether it is in force now.
    bool activate(const ConfigDigest &digest, const std::string &text);

    /// \brief Checks and commits \a change; \a done gets the new revision.
    ///
    /// An error with Verdict::MayHaveRun says that the store did not tell in time whether the
    /// change was accepted; the same change id, sent again, settles it.
    void propose(ConfigChange change, std::function<void(Result<std::uint64_t>)> done);

    /// \brief Proposes the text of \a revision as a new revision. \param change all but its text.
    void rollBack(std::uint64_t revision, ConfigChange change,
                  std::function<void(Result<std::uint64_t>)> done);

    /// \brief Reads the newest \a limit accepted changes, newest first.
    void history(std::size_t limit, std::function<void(Result<std::vector<ConfigRecord>>)> done);

    /// \brief Emitted after a higher revision took effect here.
    sigc::signal<void(InventoryPtr)> &changed() { return m_changed; }

    /// \brief Emitted before that, with the text in force until now.
    sigc::signal<void(const std::string &)> &aboutToChange() { return m_aboutToChange; }

private:
    struct Proposal
    {
        ConfigChange change;
        ConfigRecord record;
        std::uint64_t activeRevision = 0; ///< Revision in force here when the head was asked for.
        std::uint64_t headVersion = 0;
        std::string expiredChangeId; ///< Of the history row that this change pushes out.
        int resolveAttempts = 0; ///< Reads so far of whether the commit took effect.
        std::function<void(Result<std::uint64_t>)> done;
    };
    using ProposalPtr = std::shared_ptr<Proposal>;

    void fetchBody(const ConfigRecord &head);
    void checkHead(const ProposalPtr &it, const std::vector<TableRow> &rows);
    bool answerDuplicate(const ProposalPtr &it, const std::vector<TableRow> &rows);
    void reportConflict(const ProposalPtr &it, const ConfigRecord &head);
    void store(const ProposalPtr &it);
    void commit(const ProposalPtr &it);
    void resolveOutcome(const ProposalPtr &it);
    void resolveOutcomeLater(const ProposalPtr &it);
    void accept(const ProposalPtr &it);

    Options m_options;
    InventoryParser m_parser;
    InventoryPtr m_current;
    std::string m_text;
    ConfigDigest m_digest;
    std::uint64_t m_fetchingRevision = 0; ///< Revision whose body is being fetched.
    TimePoint m_lastConfirmed = TimePoint::min();
    sigc::signal<void(InventoryPtr)> m_changed;
    sigc::signal<void(const std::string &)> m_aboutToChange;
};

} // namespace catkinloft
