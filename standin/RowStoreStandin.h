#pragma once

#include "Net/Timer.h"
#include "PlatformStandin.h"

#include <deque>
#include <list>
#include <optional>

namespace catkinloft::standin {

/// \brief Simulates the users' store: rows in tables, conditional transactions and change feeds.
///
/// `POST /v1/operator` writes rows that routers may not write. With `forget_history` it discards
/// the change history instead: feeds from an earlier version are answered with 410. `take_copy`
/// stores a copy of all rows. `restore_copy` replaces the rows by the copy and starts a new era:
/// versions continue from the one of the copy, feeds from a higher version are answered with 410,
/// and waiting feeds are cut.
class RowStoreStandin final : public PlatformStandin
{
public:
    explicit RowStoreStandin(Options options);

protected:
    bool isWrite(const HttpExchange &exchange) const override;
    bool isExempt(const HttpExchange &exchange) const override;
    bool defer(const HttpExchangePtr &exchange) override;
    Answer answer(const HttpExchange &exchange) override;

private:
    struct Row
    {
        std::string value; ///< Base64, as in requests and answers.
        std::uint64_t version = 0;
    };
    struct Change
    {
        std::string table;
        std::string key;
        std::uint64_t version = 0;
    };
    struct Waiting
    {
        HttpExchangePtr exchange;
        std::string table;
        std::uint64_t after = 0;
        TimePoint until;
    };

    /// \brief Everything that a copy of the store contains.
    struct Content
    {
        std::map<std::string, std::map<std::string, Row>> tables;
        std::deque<Change> history;
        std::uint64_t version = 100;
        std::uint64_t oldestVersion = 0; ///< Feeds from an earlier version are answered with 410.
    };

    Answer answerCall(const HttpExchange &exchange);
    Answer withEra(Answer answer) const;
    void restoreCopy();
    Answer get(const HttpExchange &exchange) const;
    std::optional<Answer> feed(const std::string &table, std::uint64_t after,
                               bool answerEmpty) const;
    Answer commit(const HttpExchange &exchange);
    Answer writeAsOperator(const HttpExchange &exchange);
    void set(const std::string &table, const std::string &key, std::optional<std::string> value);
    Json::Value rowJson(const std::string &table, const std::string &key) const;
    void answerWaitingFeeds();

    Content m_content;
    Content m_copy;
    std::uint64_t m_era = 1; ///< Increases with each restore.
    std::list<Waiting> m_waiting;
    Timer m_timer;
};

} // namespace catkinloft::standin
