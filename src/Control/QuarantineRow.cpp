#include "Control/QuarantineRow.h"

#include "Base/Json.h"

#include <algorithm>
#include <cstdint>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// Fields of a crash; one that is not confirmed has another one.
constexpr Json::ArrayIndex CrashFields = 3;

/// Latest time of a crash, in milliseconds since 1970, for which no age overflows.
constexpr std::int64_t MaxTimeMs = std::int64_t(1) << 42;

std::optional<QuarantineRow::Crash> decodeCrash(const Json::Value &it)
{
    const bool hasFields =
            it.isArray() && (it.size() == CrashFields || it.size() == CrashFields + 1);
    if (!hasFields || !it[0U].isString() || !it[1U].isString() || !it[2U].isInt64()
        || it[2U].asInt64() < 0 || it[2U].asInt64() > MaxTimeMs)
        return std::nullopt;
    return QuarantineRow::Crash{.replica = it[0U].asString(),
                                .software = it[1U].asString(),
                                .at = WallTime(std::chrono::milliseconds(it[2U].asInt64())),
                                .isConfirmed = it.size() == CrashFields};
}

/// Reads what programs that don't know it ignore, as arrays in the order of the crashes.
void readRuns(const Json::Value &root, std::vector<QuarantineRow::Crash> &crashes)
{
    const Json::Value &runTimes = root["run_ms"];
    const Json::Value &trials = root["trials"];
    const auto at = [](const Json::Value &list, Json::ArrayIndex i) {
        return list.isArray() && i < list.size() ? list[i] : Json::Value();
    };
    for (Json::ArrayIndex i = 0; i < crashes.size(); ++i) {
        const Json::Value runTime = at(runTimes, i);
        if (runTime.isInt64() && runTime.asInt64() >= 0 && runTime.asInt64() <= MaxTimeMs)
            crashes[i].runTime = std::chrono::milliseconds(runTime.asInt64());
        const Json::Value isTrial = at(trials, i);
        crashes[i].isTrial = isTrial.isBool() && isTrial.asBool();
    }
}

} // namespace

QuarantineRow QuarantineRow::of(const CrashUpdate &record, WallTime now)
{
    QuarantineRow out{.fingerprint = record.fingerprint, .isHeld = record.isHeld};
    for (const CrashUpdate::Crash &it : record.replicaCrashes)
        out.crashes.push_back(
                {.replica = it.replica,
                 .software = it.software,
                 .at = now - std::chrono::duration_cast<std::chrono::milliseconds>(it.age),
                 .runTime = it.runTime,
                 .isConfirmed = it.isConfirmed,
                 .isTrial = it.isTrial});
    return out;
}

CrashUpdate QuarantineRow::toUpdate(WallTime now) const
{
    CrashUpdate out{.fingerprint = fingerprint, .isHeld = isHeld};
    for (const Crash &it : crashes)
        out.replicaCrashes.push_back({.replica = it.replica,
                                      .software = it.software,
                                      .age = std::max<Duration>(Duration::zero(), now - it.at),
                                      .runTime = it.runTime,
                                      .isConfirmed = it.isConfirmed,
                                      .isTrial = it.isTrial});
    return out;
}

bool QuarantineRow::hasSameEvidence(const QuarantineRow &other) const
{
    return fingerprint == other.fingerprint && isHeld == other.isHeld
            && std::is_permutation(crashes.begin(), crashes.end(), other.crashes.begin(),
                                   other.crashes.end(), [](const Crash &a, const Crash &b) {
                                       return a.replica == b.replica
                                               && a.isConfirmed == b.isConfirmed
                                               && a.isTrial == b.isTrial;
                                   });
}

std::string QuarantineRow::encode() const
{
    Json::Value out(Json::objectValue);
    out["held"] = isHeld;
    out["crashes"] = Json::Value(Json::arrayValue);
    for (const Crash &it : crashes) {
        Json::Value item(Json::arrayValue);
        item.append(it.replica);
        item.append(it.software);
        item.append(static_cast<Json::Int64>(it.at.time_since_epoch() / 1ms));
        if (!it.isConfirmed)
            item.append(0);
        out["crashes"].append(item);
        const bool isKnown = it.runTime != ReplicaCrash::UnknownRunTime;
        out["run_ms"].append(isKnown ? static_cast<Json::Int64>(it.runTime / 1ms)
                                     : Json::Int64(-1));
        out["trials"].append(it.isTrial);
    }
    return printJson(out);
}

std::optional<QuarantineRow> QuarantineRow::decode(const std::string &fingerprint,
                                                   const std::string &value)
{
    const Result<Json::Value> root = parseJsonObject(value);
    if (!root || !root.value()["held"].isBool() || !root.value()["crashes"].isArray())
        return std::nullopt;
    QuarantineRow out{.fingerprint = fingerprint, .isHeld = root.value()["held"].asBool()};
    for (const Json::Value &it : root.value()["crashes"]) {
        const std::optional<Crash> crash = decodeCrash(it);
        if (!crash)
            return std::nullopt;
        out.crashes.push_back(*crash);
    }
    readRuns(root.value(), out.crashes);
    return out;
}

} // namespace catkinloft
