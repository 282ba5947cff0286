#pragma once

#include "Base/Clock.h"
#include "Base/Error.h"

#include <string>
#include <string_view>

namespace catkinloft {

/// \brief An upstream's answer as it is kept for a caller's retry.
struct RecordedAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// \brief One row of claims in the table service: who may execute a call, and how it ended.
struct ClaimRow
{
    enum class State {
        Claimed, ///< Its holder may have sent the call; nobody else ever does.
        Done, ///< `answer` holds the upstream's answer.
        Unknown, ///< The holder sent the call and got no whole answer.
        /// Nothing was sent; whoever comes next may claim. The row stays for a while, so that a
        /// late effect of the first claim's write finds another version and does nothing.
        Free,
    };

    State state = State::Claimed;
    std::string fingerprint; ///< Of the request, so that a key can't stand for two.
    std::string attempt; ///< Random; tells one's own write from another's when an answer is lost.
    std::string router;
    WallTime until; ///< The holder sends nothing after it.
    WallTime expires; ///< The row may be removed after it.
    RecordedAnswer answer;
    std::string object; ///< Name in the object store where the body is too long for a row.

    /// \returns the row's key. It starts with four digits of a hash, since the table service scans
    /// by prefix only: the sweeper needs prefixes that hold few rows.
    static std::string key(std::string_view workspace, std::string_view idempotencyKey);

    /// \returns the prefix of part \a shard of all claims, from 0 to Shards - 1.
    static std::string shardPrefix(unsigned shard);
    static constexpr unsigned Shards = 65536;

    std::string encode() const;

    /// \returns an error where \a value is no claim of this release.
    static Result<ClaimRow> decode(std::string_view value);
};

} // namespace catkinloft
