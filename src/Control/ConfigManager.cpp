#include "Control/ConfigManager.h"

#include "Base/Hash.h"
#include "Base/Log.h"
#include "Control/TextDelta.h"

#include <fmt/format.h>

namespace catkinloft {

namespace {

/// How long a router that reads a higher head waits for a peer to send the change before it reads
/// the body from the object store. With 10,000 engines the body exceeds a megabyte, a peer's delta
/// is a few hundred bytes.
constexpr Duration PeerDeltaWait = std::chrono::seconds(2);

/// Number of reads that check whether a commit with a lost answer took effect, and the pause before
/// the first one. The pause doubles with each read, 6 s in total: an operator does not wait longer
/// for an unknown result.
constexpr int MaxResolveAttempts = 5;
constexpr Duration ResolvePause = std::chrono::milliseconds(200);

/// Accepted changes kept in the table, so that it stays bounded: two days at 25,000 a day.
constexpr std::uint64_t MaxHistory = 50'000;

constexpr std::size_t MaxDiffLines = 20;

std::string problemsText(const YamlProblems &problems)
{
    std::string out;
    for (const YamlProblem &it : problems)
        out += (out.empty() ? "" : "; ") + it.text();
    return out;
}

Error storeUnavailable(const Error &error, Verdict verdict)
{
    return {.reason = Reason::StoreUnavailable,
            .verdict = verdict,
            .detail = error.detail,
            .retryAfter = std::chrono::seconds(1)};
}

} // namespace

ConfigManager::ConfigManager(Options options) : m_options(std::move(options)) { }

void ConfigManager::refresh()
{
    const std::uint64_t activeRevision = m_digest.revision;
    m_options.table.read(
            {config_rows::Head}, [this, activeRevision](Result<std::vector<TableRow>> rows) {
                if (!rows)
                    return;
                m_lastConfirmed = m_options.clock.now();
                const TableRow *row = config_rows::find(rows.value(), config_rows::Head);
                const auto head = row ? config_rows::decode(row->value) : std::nullopt;
                const std::uint64_t revision = head ? head->digest.revision : 0;
                if (revision < activeRevision)
                    Log::warning("config_head_behind",
                                 {{"head", revision}, {"in_force", activeRevision}});
                else if (head && revision == m_digest.revision
                         && head->digest.hash != m_digest.hash)
                    Log::error("config_chain_broken", {{"revision", revision}});
                else if (head && revision > m_digest.revision && revision > m_fetchingRevision)
                    fetchBody(*head);
            });
}

void ConfigManager::fetchBody(const ConfigRecord &head)
{
    m_fetchingRevision = head.digest.revision;
    const auto fetch = [this, head] {
        if (m_digest.revision >= head.digest.revision) {
            m_fetchingRevision = 0;
            return;
        }
        m_options.objects.get(head.object, [this, head](Result<std::optional<std::string>> body) {
            m_fetchingRevision = 0;
            if (body && body.value())
                activate(head.digest, *body.value());
        });
    };
    if (m_current)
        m_options.after(PeerDeltaWait, fetch);
    else
        fetch();
}

bool ConfigManager::activate(const ConfigDigest &digest, const std::string &text)
{
    // This comparison alone guarantees that an accepted configuration never reverts: an older text
    // is refused, whether it comes from a peer, the store or a delayed answer.
    if (digest.revision <= m_digest.revision)
        return false;
    if (hash64(text) != digest.hash) {
        Log::error("config_body_wrong", {{"revision", digest.revision}});
        return false;
    }
    YamlProblems problems;
    InventoryPtr next = m_parser.parse(text, "inventory", digest.revision, problems);
    if (!next) {
        Log::error("config_unreadable",
                   {{"revision", digest.revision}, {"problems", problemsText(problems)}});
        return false;
    }
    m_aboutToChange.emit(text);
    m_current = std::move(next);
    m_text = text;
    m_digest = digest;
    Log::info("config_applied", {{"revision", digest.revision}});
    m_changed.emit(m_current);
    return true;
}

void ConfigManager::propose(ConfigChange change, std::function<void(Result<std::uint64_t>)> done)
{
    YamlProblems problems;
    if (!m_parser.parse(change.text, "inventory", change.base + 1, problems)) {
        done(Error{.reason = Reason::ConfigInvalid, .detail = problemsText(problems)});
        return;
    }
    // A generated id still allows to resolve a lost answer if the operator sent none.
    if (change.changeId.empty())
        change.changeId = fmt::format("{:016x}", m_options.random());
    auto it = std::make_shared<Proposal>();
    const std::uint64_t revision = change.base + 1;
    it->record = {
            .digest = {.revision = revision, .hash = hash64(change.text)},
            .object = fmt::format("config/{}-{}", revision, sha256Hex(change.text).substr(0, 16)),
            .changeId = change.changeId,
            .author = change.author,
            .acceptedAt = static_cast<std::uint64_t>(
                    m_options.clock.wallNow().time_since_epoch().count())};
    it->change = std::move(change);
    it->done = std::move(done);
    std::vector<std::string> keys{config_rows::Head, config_rows::changeKey(it->change.changeId)};
    if (revision > MaxHistory)
        keys.push_back(config_rows::historyKey(revision - MaxHistory));
    it->activeRevision = m_digest.revision;
    m_options.table.read(std::move(keys), [this, it](Result<std::vector<TableRow>> rows) {
        if (rows)
            checkHead(it, rows.value());
        else
            it->done(storeUnavailable(rows.error(), Verdict::NotRun));
    });
}

void ConfigManager::checkHead(const ProposalPtr &it, const std::vector<TableRow> &rows)
{
    if (answerDuplicate(it, rows))
        return;
    const TableRow *row = config_rows::find(rows, config_rows::Head);
    const ConfigRecord head =
            (row ? config_rows::decode(row->value) : std::nullopt).value_or(ConfigRecord{});
    if (head.digest.revision < it->activeRevision) {
        // The table was restored from a backup: routers would ignore a new revision above its head
        // as too old. A revision received from a peer during the read is not compared, because the
        // answer may only be outdated; the commit below detects that case.
        it->done(Error{.reason = Reason::StoreUnavailable,
                       .detail = fmt::format("the table service returned revision {}, but revision "
                                             "{} is active on this router",
                                             head.digest.revision, it->activeRevision)});
        return;
    }
    if (head.digest.revision != it->change.base) {
        reportConflict(it, head);
        return;
    }
    if (it->record.digest.revision > MaxHistory) {
        const TableRow *old = config_rows::find(
                rows, config_rows::historyKey(it->record.digest.revision - MaxHistory));
        if (const auto record = old ? config_rows::decode(old->value) : std::nullopt)
            it->expiredChangeId = record->changeId;
    }
    it->headVersion = row ? row->version : 0;
    store(it);
}

bool ConfigManager::answerDuplicate(const ProposalPtr &it, const std::vector<TableRow> &rows)
{
    const TableRow *row = config_rows::find(rows, config_rows::changeKey(it->change.changeId));
    const auto first = row ? config_rows::decode(row->value) : std::nullopt;
    if (!first)
        return false;
    if (first->digest.hash != it->record.digest.hash)
        it->done(Error{.reason = Reason::KeyReused,
                       .detail = fmt::format("the change id was used for revision {} with another "
                                             "text",
                                             first->digest.revision)});
    else
        it->done(first->digest.revision);
    return true;
}

void ConfigManager::reportConflict(const ProposalPtr &it, const ConfigRecord &head)
{
    const auto report = [it, head](const std::string &differs) {
        it->done(Error{.reason = Reason::ConfigConflict,
                       .detail = fmt::format("the change is based on revision {}, but {} of {} is "
                                             "active; it differs by:\n{}",
                                             it->change.base, head.digest.revision, head.author,
                                             differs),
                       .figures = {{"base_revision", static_cast<double>(it->change.base)},
                                   {"revision", static_cast<double>(head.digest.revision)}}});
    };
    m_options.objects.get(head.object, [it, report](Result<std::optional<std::string>> body) {
        report(body && body.value() ? describeDelta(*body.value(), it->change.text, MaxDiffLines)
                                    : "(the text of that revision cannot be read now)\n");
    });
}

void ConfigManager::store(const ProposalPtr &it)
{
    m_options.objects.put(it->record.object, it->change.text, [this, it](Result<void> stored) {
        if (stored)
            commit(it);
        else
            it->done(storeUnavailable(stored.error(), Verdict::NotRun));
    });
}

void ConfigManager::commit(const ProposalPtr &it)
{
    const std::string value = config_rows::encode(it->record);
    const std::string changeKey = config_rows::changeKey(it->change.changeId);
    const std::uint64_t revision = it->record.digest.revision;
    TableTransaction transaction{
            .expects = {{.key = config_rows::Head, .version = it->headVersion},
                        {.key = changeKey, .version = 0}},
            .writes = {{.key = config_rows::Head, .value = value},
                       {.key = changeKey, .value = value},
                       {.key = config_rows::historyKey(revision), .value = value}}};
    if (!it->expiredChangeId.empty()) {
        transaction.writes.push_back(
                {.key = config_rows::historyKey(revision - MaxHistory), .value = {}});
        transaction.writes.push_back(
                {.key = config_rows::changeKey(it->expiredChangeId), .value = {}});
    }
    m_options.table.commit(std::move(transaction), [this, it](Result<TableCommit> answer) {
        if (!answer && answer.error().verdict == Verdict::NotRun)
            it->done(storeUnavailable(answer.error(), Verdict::NotRun));
        else if (answer && answer.value().committed)
            accept(it);
        else
            resolveOutcome(it);
    });
}

void ConfigManager::resolveOutcome(const ProposalPtr &it)
{
    m_options.table.read(
            {config_rows::Head, config_rows::changeKey(it->change.changeId)},
            [this, it](Result<std::vector<TableRow>> rows) {
                if (!rows) {
                    resolveOutcomeLater(it);
                    return;
                }
                const TableRow *row = config_rows::find(rows.value(), config_rows::Head);
                const auto head = row ? config_rows::decode(row->value) : std::nullopt;
                if (config_rows::find(rows.value(), config_rows::changeKey(it->change.changeId))) {
                    if (head && head->changeId == it->change.changeId)
                        accept(it);
                    else
                        answerDuplicate(it, rows.value());
                } else if (head && head->digest.revision > it->change.base) {
                    reportConflict(it, *head);
                } else {
                    // The write may still be in flight: it is only ruled out once another write has
                    // replaced the head or enough time has passed.
                    resolveOutcomeLater(it);
                }
            });
}

void ConfigManager::resolveOutcomeLater(const ProposalPtr &it)
{
    if (++it->resolveAttempts > MaxResolveAttempts) {
        it->done(Error{.reason = Reason::StoreUnavailable,
                       .verdict = Verdict::MayHaveRun,
                       .detail = "the table service did not report whether the change was "
                                 "accepted; send it again with change id "
                               + it->change.changeId,
                       .retryAfter = std::chrono::seconds(5)});
        return;
    }
    m_options.after(ResolvePause * (1 << (it->resolveAttempts - 1)),
                    [this, it] { resolveOutcome(it); });
}

void ConfigManager::accept(const ProposalPtr &it)
{
    m_lastConfirmed = m_options.clock.now();
    activate(it->record.digest, it->change.text);
    it->done(it->record.digest.revision);
}

void ConfigManager::rollBack(std::uint64_t revision, ConfigChange change,
                             std::function<void(Result<std::uint64_t>)> done)
{
    const std::string key = config_rows::historyKey(revision);
    m_options.table.read({key}, [this, key, change, done](Result<std::vector<TableRow>> rows) {
        if (!rows) {
            done(storeUnavailable(rows.error(), Verdict::NotRun));
            return;
        }
        const TableRow *row = config_rows::find(rows.value(), key);
        const auto record = row ? config_rows::decode(row->value) : std::nullopt;
        if (!record) {
            done(Error{.reason = Reason::NotFound, .detail = "the revision is not in the history"});
            return;
        }
        m_options.objects.get(
                record->object, [this, change, done](Result<std::optional<std::string>> body) {
                    if (!body || !body.value()) {
                        done(Error{.reason = Reason::StoreUnavailable,
                                   .detail = "the text of the revision cannot be read now"});
                        return;
                    }
                    ConfigChange next = change;
                    next.text = *body.value();
                    propose(std::move(next), done);
                });
    });
}

void ConfigManager::history(std::size_t limit,
                            std::function<void(Result<std::vector<ConfigRecord>>)> done)
{
    m_options.table.scan(config_rows::HistoryPrefix, limit,
                         [done](Result<std::vector<TableRow>> rows) {
                             if (!rows) {
                                 done(storeUnavailable(rows.error(), Verdict::NotRun));
                                 return;
                             }
                             std::vector<ConfigRecord> out;
                             for (const TableRow &it : rows.value()) {
                                 if (auto record = config_rows::decode(it.value))
                                     out.push_back(std::move(*record));
                             }
                             done(std::move(out));
                         });
}

} // namespace catkinloft
