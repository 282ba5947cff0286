#include "Base/EntrySettings.h"

namespace catkinloft {

using namespace std::chrono_literals;

namespace {

constexpr std::int64_t MebiByte = 1024 * 1024;

void readAddresses(YamlSection &root, EntrySettings &out)
{
    out.callerAddress = root.address("caller_address");
    out.readinessAddress = root.address("readiness_address", "");
    out.directoryAddress = root.address("directory_address", "");
    out.peerAddress = root.address("peer_address");
    out.metricsAddress = root.address("metrics_address", "");
    out.storeAddress = root.address("store_address");
}

void readKeyProof(YamlSection it, EntrySettings &out)
{
    out.keyProofLimit = it.duration("limit", 100ms, 1h, out.keyProofLimit);
    out.requiresKeyProof = it.flag("required", out.requiresKeyProof);
    it.finish();
}

void readRepeats(YamlSection it, EntrySettings &out)
{
    out.repeatShare = it.number("share", 0, 10, "repeats a request", out.repeatShare);
    out.repeatSlack = it.number("slack", 0, 1e6, "repeats a window", out.repeatSlack);
    out.repeatWindow = it.duration("window", 100ms, 1h, out.repeatWindow);
    it.finish();
}

std::size_t bytes(YamlSection &it, std::string_view key, std::int64_t max, std::size_t fallback)
{
    return static_cast<std::size_t>(
            it.integer(key, 1024, max, "bytes", static_cast<std::int64_t>(fallback)));
}

void readLimits(YamlSection it, EntrySettings &out)
{
    out.maxHeaderBytes = bytes(it, "max_header_bytes", MebiByte, out.maxHeaderBytes);
    out.maxBodyBytes = bytes(it, "max_body_bytes", 64 * MebiByte, out.maxBodyBytes);
    out.maxStreamBuffer = bytes(it, "max_stream_buffer", 64 * MebiByte, out.maxStreamBuffer);
    out.maxConnections = static_cast<int>(
            it.integer("max_connections", 1, 1'000'000, "connections", out.maxConnections));
    it.finish();
}

void readColdReplicas(YamlSection it, EntrySettings &out)
{
    out.coldFactor = it.number("factor", 0.01, 100, "times the stated pace", out.coldFactor);
    out.coldSlack = it.number("slack", 0, 1e6, "requests a second", out.coldSlack);
    it.finish();
}

void readRegions(std::vector<YamlSection> list, EntrySettings &out)
{
    for (YamlSection &it : list) {
        const std::string domain = it.text("domain");
        if (!out.regions.emplace(domain, it.text("region")).second)
            it.problem("domain", "is named twice");
        it.finish();
    }
}

void readMechanisms(YamlSection it, Mechanisms &out)
{
    out.promptPlacement = it.flag("prompt_placement", out.promptPlacement);
    out.promptCopies = it.flag("prompt_copies", out.promptCopies);
    out.promptNews = it.flag("prompt_news", out.promptNews);
    out.promptSurvey = it.flag("prompt_survey", out.promptSurvey);
    out.promptPace = it.flag("prompt_pace", out.promptPace);
    out.toldEjections = it.flag("told_ejections", out.toldEjections);
    out.loadShedding = it.flag("load_shedding", out.loadShedding);
    out.requestQuarantine = it.flag("request_quarantine", out.requestQuarantine);
    it.finish();
}

} // namespace

std::string EntrySettings::regionOf(const std::string &domain) const
{
    const auto it = regions.find(domain);
    return it == regions.end() ? std::string() : it->second;
}

EntrySettings::Adjusted EntrySettings::adjust(const EntrySettings &next)
{
    Adjusted out;
    const auto take = [&](const char *key, auto EntrySettings::*field) {
        if (this->*field == next.*field)
            return;
        this->*field = next.*field;
        out.changed.emplace_back(key);
    };
    const auto keep = [&](const char *key, auto EntrySettings::*field) {
        if (this->*field != next.*field)
            out.needsRestart.emplace_back(key);
    };
    take("processor_share", &EntrySettings::processorShare);
    take("key_proof.limit", &EntrySettings::keyProofLimit);
    take("key_proof.required", &EntrySettings::requiresKeyProof);
    take("repeats.share", &EntrySettings::repeatShare);
    take("repeats.slack", &EntrySettings::repeatSlack);
    take("config_apply_limit", &EntrySettings::configApplyLimit);
    take("address_lifetime", &EntrySettings::addressLifetime);
    take("stop_limit", &EntrySettings::stopLimit);
    take("replica_drain_limit", &EntrySettings::replicaDrainLimit);
    take("limits.max_stream_buffer", &EntrySettings::maxStreamBuffer);
    keep("name", &EntrySettings::name);
    keep("failure_domain", &EntrySettings::failureDomain);
    keep("caller_address", &EntrySettings::callerAddress);
    keep("readiness_address", &EntrySettings::readinessAddress);
    keep("directory_address", &EntrySettings::directoryAddress);
    keep("peer_address", &EntrySettings::peerAddress);
    keep("metrics_address", &EntrySettings::metricsAddress);
    keep("store_address", &EntrySettings::storeAddress);
    take("cold_replicas.factor", &EntrySettings::coldFactor);
    take("cold_replicas.slack", &EntrySettings::coldSlack);
    keep("regions", &EntrySettings::regions);
    keep("repeats.window", &EntrySettings::repeatWindow);
    keep("replica_return_time", &EntrySettings::replicaReturnTime);
    keep("mechanisms", &EntrySettings::mechanisms);
    keep("limits.max_header_bytes", &EntrySettings::maxHeaderBytes);
    keep("limits.max_body_bytes", &EntrySettings::maxBodyBytes);
    keep("limits.max_connections", &EntrySettings::maxConnections);
    return out;
}

std::shared_ptr<const EntrySettings>
EntrySettings::parse(const std::string &text, const std::string &file, YamlProblems &problems)
{
    const std::size_t before = problems.size();
    const auto node = parseYaml(text, file, problems);
    if (!node)
        return nullptr;
    YamlSection root(*node, file, {}, problems);
    auto out = std::make_shared<EntrySettings>();
    out->name = root.text("name");
    out->failureDomain = root.text("failure_domain");
    readAddresses(root, *out);
    out->processorShare = root.number("processor_share", 0.01, 1024, "cores", out->processorShare);
    readKeyProof(root.section("key_proof"), *out);
    readRepeats(root.section("repeats"), *out);
    readColdReplicas(root.section("cold_replicas"), *out);
    readRegions(root.sections("regions"), *out);
    readLimits(root.section("limits"), *out);
    readMechanisms(root.section("mechanisms"), out->mechanisms);
    out->configApplyLimit = root.duration("config_apply_limit", 100ms, 1h, out->configApplyLimit);
    out->addressLifetime = root.duration("address_lifetime", 100ms, 1h, out->addressLifetime);
    out->stopLimit = root.duration("stop_limit", 100ms, 1h, out->stopLimit);
    out->replicaDrainLimit =
            root.duration("replica_drain_limit", 100ms, 1h, out->replicaDrainLimit);
    out->replicaReturnTime = root.duration("replica_return_time", 0ms, 1h, out->replicaReturnTime);
    root.finish();
    return problems.size() == before ? out : nullptr;
}

} // namespace catkinloft
