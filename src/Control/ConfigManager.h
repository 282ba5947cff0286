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

/// \brief A configuration change proposed by an operator.
struct ConfigChange
{
    std::string text = {}; ///< The whole new inventory as YAML.
    std::uint64_t base = 0; ///< Revision that the change is based on.
    std::string changeId = {}; ///< Chosen by the operator; a resent id returns the first result.
    std::string author = {};
};

/// \brief Manages the active configuration: a chain of revisions whose head is one row in the
/// table service, advanced by compare-and-set. Only higher revisions are activated.
///
/// Handles 25,000 changes a day from concurrent operators, with a store that can be unavailable and
/// whose answers can be lost.
class ConfigManager
{
public:
    struct Options
    {
        TableService &table;
        ObjectStore &objects;
        const Clock &clock;
        RandomSource random;
        std::function<void(Duration, std::function<void()>)> after; ///< Runs a callback later.
    };

    explicit ConfigManager(Options options);

    /// \returns the active inventory; nullptr before the first one.
    InventoryPtr current() const { return m_current; }

    /// \returns the YAML text from which current() was parsed.
    const std::string &text() const { return m_text; }

    /// \returns the revision and hash of the active configuration; revision 0 before the first one.
    const ConfigDigest &digest() const { return m_digest; }

    /// \returns when the table service last returned the head; TimePoint::min() before that.
    TimePoint lastConfirmed() const { return m_lastConfirmed; }

    /// \brief Reads the head and activates a higher revision.
    void refresh();

    /// \brief Activates \a text as the configuration with \a digest, if its revision is higher than
    /// the active one and its hash matches.
    /// \returns whether it is active now.
    bool activate(const ConfigDigest &digest, const std::string &text);

    /// \brief Validates and commits \a change; \a done receives the new revision.
    ///
    /// An error with Verdict::MayHaveRun means that the store did not report in time whether the
    /// change was accepted. Sending it again with the same change id returns the outcome.
    void propose(ConfigChange change, std::function<void(Result<std::uint64_t>)> done);

    /// \brief Proposes the text of \a revision as a new revision.
    /// \param change the change without its text.
    void rollBack(std::uint64_t revision, ConfigChange change,
                  std::function<void(Result<std::uint64_t>)> done);

    /// \brief Reads the latest accepted changes, at most \a limit, newest first.
    void history(std::size_t limit, std::function<void(Result<std::vector<ConfigRecord>>)> done);

    /// \brief Emitted after a higher revision was activated.
    sigc::signal<void(InventoryPtr)> &changed() { return m_changed; }

    /// \brief Emitted with the new text before it is activated; text() still returns the old one.
    sigc::signal<void(const std::string &)> &aboutToChange() { return m_aboutToChange; }

private:
    struct Proposal
    {
        ConfigChange change;
        ConfigRecord record;
        std::uint64_t activeRevision =
                0; ///< Active revision when the read of the head was started.
        std::uint64_t headVersion = 0;
        std::string expiredChangeId; ///< Of the history row that this change removes.
        int resolveAttempts = 0; ///< Reads so far that checked whether the commit took effect.
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
    std::uint64_t m_fetchingRevision = 0; ///< Revision whose body is being fetched; 0: none.
    TimePoint m_lastConfirmed = TimePoint::min();
    sigc::signal<void(InventoryPtr)> m_changed;
    sigc::signal<void(const std::string &)> m_aboutToChange;
};

} // namespace catkinloft
