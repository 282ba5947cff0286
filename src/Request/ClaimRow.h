#pragma once

#include "Base/Clock.h"
#include "Base/Error.h"

#include <string>
#include <string_view>

namespace catkinloft {

/// \brief An upstream's answer, stored so that a caller's retry gets the same one.
struct RecordedAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// \brief A claim as a row of the table service: who may execute a call, and its outcome.
struct ClaimRow
{
    enum class State {
        Claimed, ///< The holder may have sent the call; no other attempt may send it.
        Done, ///< `answer` holds the upstream's answer.
        Unknown, ///< The holder sent the call and got no complete answer.
        /// Nothing was sent, and the next attempt may claim the key. The row is retained for a
        /// while, so that a late effect of the first claim's write fails on the version.
        Free,
    };

    State state = State::Claimed;
    std::string fingerprint; ///< Hash of the request, so that a key can't be used for two requests.
    std::string attempt; ///< Random; identifies an own write after a lost answer.
    std::string router;
    WallTime until; ///< The holder sends nothing after this time.
    WallTime expires; ///< The row may be removed after this time.
    RecordedAnswer answer;
    std::string object; ///< Name in the object store if the body is too long for a row.

    /// \returns the row's key. It starts with four hexadecimal digits of a hash, because the table
    /// service scans by prefix only and ClaimSweeper needs prefixes with few rows.
    static std::string key(std::string_view workspace, std::string_view idempotencyKey);

    /// \returns the key prefix of \a shard, which is a number from 0 to Shards - 1.
    static std::string shardPrefix(unsigned shard);
    static constexpr unsigned Shards = 65536;

    std::string encode() const;

    /// \returns the decoded row, or an error if \a value is not a claim that this release can read.
    static Result<ClaimRow> decode(std::string_view value);
};

} // namespace catkinloft
