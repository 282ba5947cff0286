#include "Base/EntrySettings.h"

#include <algorithm>

namespace catkinloft {

using namespace std::chrono_literals;

namespace {

constexpr std::int64_t MebiByte = 1024 * 1024;
constexpr std::size_t MegaByte = 1'000'000;

/// Part of the memory of the VM for requests. Buffered answers, connections and freed memory that
/// the allocator keeps need the rest.
constexpr double RequestMemoryFraction = 0.375;

/// Enough for the largest request. \sa RequestBuffers
constexpr std::size_t MinRequestMemory = 48 * MebiByte;
constexpr std::size_t DefaultRequestMemory = 96 * MebiByte;

/// Part of the descriptors for connections of callers. The other listeners, and connections to
/// replicas, routers and the store, need the rest.
constexpr double CallerDescriptorFraction = 0.5;

void readAddresses(YamlSection &root, EntrySettings &out)
{
    out.callerAddress = root.address("caller_address");
    out.readinessAddress = root.address("readiness_address", "");
    out.directoryAddress = root.address("directory_address", "");
    out.peerAddress = root.address("peer_address");
    out.metricsAddress = root.address("metrics_address", "");
    out.storeAddress = root.address("store_address");
    out.sourceIp = root.text("source_ip", "");
}

void readKeyProof(YamlSection it, EntrySettings &out)
{
    out.maxKeyProofAge = it.duration("limit", 100ms, 1h, out.maxKeyProofAge);
    out.requiresKeyProof = it.flag("required", out.requiresKeyProof);
    it.finish();
}

void readFleetRetries(YamlSection it, EntrySettings &out)
{
    out.fleetRetryShare = it.number("share", 0, 10, "repeats a request", out.fleetRetryShare);
    out.fleetRetrySlack = it.number("slack", 0, 1e6, "repeats a window", out.fleetRetrySlack);
    out.fleetRetryWindow = it.duration("window", 100ms, 1h, out.fleetRetryWindow);
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
    if (it.has("max_request_memory"))
        out.maxRequestMemory =
                bytes(it, "max_request_memory", 16 * 1024 * MebiByte, out.maxRequestMemory);
    it.finish();
}

void readVm(YamlSection it, EntrySettings &out)
{
    constexpr std::int64_t MaxMegaBytes = 1'000'000;
    out.vmMemory = MegaByte
            * static_cast<std::size_t>(it.integer("memory_mb", 0, MaxMegaBytes, "megabytes", 0));
    out.vmDescriptors =
            static_cast<int>(it.integer("descriptors", 0, 10'000'000, "descriptors", 0));
    it.finish();
}

void readColdReplicas(YamlSection it, EntrySettings &out)
{
    out.coldRateFactor =
            it.number("factor", 0.01, 100, "times the stated pace", out.coldRateFactor);
    out.coldRateSlack = it.number("slack", 0, 1e6, "requests a second", out.coldRateSlack);
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
    out.promptAnnouncements = it.flag("prompt_news", out.promptAnnouncements);
    out.promptDiscovery = it.flag("prompt_survey", out.promptDiscovery);
    out.prefillTimeouts = it.flag("prompt_pace", out.prefillTimeouts);
    out.announcedEjections = it.flag("told_ejections", out.announcedEjections);
    out.loadShedding = it.flag("load_shedding", out.loadShedding);
    out.streamOriginAnnouncements =
            it.flag("stream_origin_announcements", out.streamOriginAnnouncements);
    out.requestQuarantine = it.flag("request_quarantine", out.requestQuarantine);
    out.expectedTimePlacement = it.flag("expected_time_placement", out.expectedTimePlacement);
    out.promptAdmission = it.flag("prompt_admission", out.promptAdmission);
    out.workspaceShares = it.flag("workspace_shares", out.workspaceShares);
    out.firstAttemptsFirst = it.flag("first_attempts_first", out.firstAttemptsFirst);
    out.requestPriorities = it.flag("request_priorities", out.requestPriorities);
    out.urgentRetries = it.flag("urgent_retries", out.urgentRetries);
    out.brittleServices = it.flag("brittle_services", out.brittleServices);
    it.finish();
}

} // namespace

std::string EntrySettings::regionOf(const std::string &domain) const
{
    const auto it = regions.find(domain);
    return it == regions.end() ? std::string() : it->second;
}

EntrySettings::UpdateResult EntrySettings::updateFrom(const EntrySettings &next)
{
    UpdateResult out;
    const auto updateField = [&](const char *key, auto EntrySettings::*field) {
        if (this->*field == next.*field)
            return;
        this->*field = next.*field;
        out.changed.emplace_back(key);
    };
    const auto checkUnchanged = [&](const char *key, auto EntrySettings::*field) {
        if (this->*field != next.*field)
            out.needsRestart.emplace_back(key);
    };
    updateField("processor_share", &EntrySettings::processorShare);
    updateField("key_proof.limit", &EntrySettings::maxKeyProofAge);
    updateField("key_proof.required", &EntrySettings::requiresKeyProof);
    updateField("repeats.share", &EntrySettings::fleetRetryShare);
    updateField("repeats.slack", &EntrySettings::fleetRetrySlack);
    updateField("config_apply_limit", &EntrySettings::configApplyTimeout);
    updateField("address_lifetime", &EntrySettings::addressLifetime);
    updateField("stop_limit", &EntrySettings::stopTimeout);
    updateField("replica_drain_limit", &EntrySettings::replicaDrainTimeout);
    updateField("limits.max_stream_buffer", &EntrySettings::maxStreamBuffer);
    checkUnchanged("name", &EntrySettings::name);
    checkUnchanged("failure_domain", &EntrySettings::failureDomain);
    checkUnchanged("caller_address", &EntrySettings::callerAddress);
    checkUnchanged("readiness_address", &EntrySettings::readinessAddress);
    checkUnchanged("directory_address", &EntrySettings::directoryAddress);
    checkUnchanged("peer_address", &EntrySettings::peerAddress);
    checkUnchanged("metrics_address", &EntrySettings::metricsAddress);
    checkUnchanged("store_address", &EntrySettings::storeAddress);
    checkUnchanged("source_ip", &EntrySettings::sourceIp);
    updateField("cold_replicas.factor", &EntrySettings::coldRateFactor);
    updateField("cold_replicas.slack", &EntrySettings::coldRateSlack);
    checkUnchanged("regions", &EntrySettings::regions);
    checkUnchanged("repeats.window", &EntrySettings::fleetRetryWindow);
    checkUnchanged("store_writes_per_second", &EntrySettings::storeWritesPerSecond);
    checkUnchanged("replica_return_time", &EntrySettings::replicaReregistrationTime);
    checkUnchanged("mechanisms", &EntrySettings::mechanisms);
    checkUnchanged("limits.max_header_bytes", &EntrySettings::maxHeaderBytes);
    checkUnchanged("limits.max_body_bytes", &EntrySettings::maxBodyBytes);
    checkUnchanged("limits.max_connections", &EntrySettings::maxConnections);
    checkUnchanged("limits.max_request_memory", &EntrySettings::maxRequestMemory);
    checkUnchanged("vm.memory_mb", &EntrySettings::vmMemory);
    checkUnchanged("vm.descriptors", &EntrySettings::vmDescriptors);
    return out;
}

std::size_t EntrySettings::requestMemory() const
{
    if (maxRequestMemory > 0)
        return maxRequestMemory;
    if (vmMemory == 0)
        return DefaultRequestMemory;
    const double share = RequestMemoryFraction * static_cast<double>(vmMemory);
    return std::max(MinRequestMemory, static_cast<std::size_t>(share));
}

int EntrySettings::callerConnections(double systemDescriptors) const
{
    const double descriptors = vmDescriptors > 0 ? vmDescriptors : systemDescriptors;
    const double share = std::max(1.0, CallerDescriptorFraction * descriptors);
    return static_cast<int>(std::min<double>(share, maxConnections));
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
    readFleetRetries(root.section("repeats"), *out);
    readColdReplicas(root.section("cold_replicas"), *out);
    readRegions(root.sections("regions"), *out);
    readLimits(root.section("limits"), *out);
    readVm(root.section("vm"), *out);
    readMechanisms(root.section("mechanisms"), out->mechanisms);
    out->configApplyTimeout =
            root.duration("config_apply_limit", 100ms, 1h, out->configApplyTimeout);
    out->addressLifetime = root.duration("address_lifetime", 100ms, 1h, out->addressLifetime);
    out->stopTimeout = root.duration("stop_limit", 100ms, 1h, out->stopTimeout);
    out->replicaDrainTimeout =
            root.duration("replica_drain_limit", 100ms, 1h, out->replicaDrainTimeout);
    out->storeWritesPerSecond =
            root.number("store_writes_per_second", 0, 1e6, "writes", out->storeWritesPerSecond);
    out->replicaReregistrationTime =
            root.duration("replica_return_time", 0ms, 1h, out->replicaReregistrationTime);
    root.finish();
    return problems.size() == before ? out : nullptr;
}

} // namespace catkinloft
