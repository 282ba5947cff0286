#include "Base/internal/InventoryReader.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace catkinloft::internal {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t Sha256HexDigits = 64;
constexpr double MaxWeight = 1000;

/// The names in one list, to report duplicates.
class UniqueNames
{
public:
    void add(YamlSection &section, std::string_view key, const std::string &name)
    {
        if (!name.empty() && !m_names.insert(name).second)
            section.problem(key, fmt::format("'{}' is used twice", name));
    }

private:
    std::set<std::string> m_names;
};

bool hasPlace(const Inventory &inventory, const std::string &name)
{
    return std::any_of(inventory.places.begin(), inventory.places.end(),
                       [&](const Place &it) { return it.name == name; });
}

std::string readFailureDomain(YamlSection &section, const Inventory &inventory)
{
    std::string name = section.text("failure_domain");
    if (!name.empty() && !hasPlace(inventory, name))
        section.problem("failure_domain", fmt::format("'{}' is not under places", name));
    return name;
}

std::string readKeyHash(YamlSection &section, UniqueNames &seen)
{
    std::string hash = section.text("key_sha256");
    const bool isHex = hash.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (hash.size() != Sha256HexDigits || !isHex)
        section.problem("key_sha256", "expected the SHA-256 of the key, 64 hexadecimal digits");
    else
        seen.add(section, "key_sha256", hash);
    return hash;
}

void readPlaces(YamlSection &root, Inventory &out)
{
    UniqueNames names;
    for (YamlSection &it : root.sections("places")) {
        Place place{.name = it.text("name"), .region = it.text("region")};
        names.add(it, "name", place.name);
        it.finish();
        out.places.push_back(std::move(place));
    }
}

Engine readEngine(YamlSection &it, const Inventory &inventory)
{
    Engine engine;
    engine.name = it.text("name");
    engine.model = it.text("model");
    engine.address = it.address("address");
    engine.failureDomain = readFailureDomain(it, inventory);
    engine.weight = it.number("weight", 0.01, MaxWeight, "relative capacity", 1.0);
    engine.slots = static_cast<int>(it.integer("slots", 1, 4096, "requests", 32));
    engine.checksFencing = it.flag("checks_fencing", false);
    engine.leaving = it.flag("leaving", false);
    engine.adapters = it.textList("adapters");
    engine.version = it.text("version", "");
    engine.role = it.text("role", "serve");
    if (engine.role != "serve" && engine.role != "standby")
        it.problem("role", fmt::format("expected serve or standby, found '{}'", engine.role));
    it.finish();
    return engine;
}

void readEngines(YamlSection &root, Inventory &out)
{
    UniqueNames names;
    UniqueNames addresses;
    for (YamlSection &it : root.sections("engines")) {
        Engine engine = readEngine(it, out);
        names.add(it, "name", engine.name);
        addresses.add(it, "address", engine.address);
        out.engines.push_back(std::move(engine));
    }
}

std::vector<int> readStatuses(YamlSection &section, std::string_view key)
{
    std::vector<int> out;
    for (const std::string &it : section.textList(key)) {
        const bool isNumber = it.size() == 3 && it.find_first_not_of("0123456789") == it.npos;
        const int status = isNumber ? std::stoi(it) : 0;
        if (status < 400 || status > 599)
            section.problem(key,
                            fmt::format("expected HTTP statuses from 400 to 599, found '{}'", it));
        else
            out.push_back(status);
    }
    return out;
}

Service readService(YamlSection &it, const Inventory &inventory)
{
    Service service;
    service.name = it.text("name");
    service.idempotentMethods = it.textList("idempotent_methods");
    service.notRunStatuses = readStatuses(it, "not_run_statuses");
    service.timeout = it.duration("timeout", 10ms, 1h, 30s);
    service.concurrency = static_cast<int>(it.integer("concurrency", 1, 65536, "calls", 64));
    for (YamlSection &replica : it.sections("replicas")) {
        service.replicas.push_back({.address = replica.address("address"),
                                    .failureDomain = readFailureDomain(replica, inventory),
                                    .leaving = replica.flag("leaving", false)});
        replica.finish();
    }
    if (service.replicas.empty())
        it.problem("replicas", "expected at least one replica");
    it.finish();
    return service;
}

void readServices(YamlSection &root, Inventory &out)
{
    UniqueNames names;
    for (YamlSection &it : root.sections("services")) {
        Service service = readService(it, out);
        names.add(it, "name", service.name);
        out.services.push_back(std::move(service));
    }
}

void readWorkspacesAndOperators(YamlSection &root, Inventory &out)
{
    UniqueNames names;
    UniqueNames keys;
    for (YamlSection &it : root.sections("workspaces")) {
        Workspace workspace;
        workspace.name = it.text("name");
        workspace.keySha256 = readKeyHash(it, keys);
        workspace.weight = it.number("weight", 0.01, MaxWeight, "relative share", 1.0);
        workspace.isProtected = it.flag("protected", false);
        workspace.maxInFlight = static_cast<int>(
                it.integer("max_in_flight", 0, 1'000'000, "requests (0: no limit)", 0));
        names.add(it, "name", workspace.name);
        it.finish();
        out.workspaces.push_back(std::move(workspace));
    }
    for (YamlSection &it : root.sections("operators")) {
        Operator newOperator;
        newOperator.name = it.text("name");
        newOperator.keySha256 = readKeyHash(it, keys);
        it.finish();
        out.operators.push_back(std::move(newOperator));
    }
}

void readRules(YamlSection it, Rules &out)
{
    const Rules d;
    out.loadBound = it.number("load_bound", 1.01, 10, "times the mean load", d.loadBound);
    out.queueSojourn = it.duration("queue_sojourn", 10ms, 60s, d.queueSojourn);
    out.queueLength =
            static_cast<int>(it.integer("queue_length", 1, 100'000, "requests", d.queueLength));
    out.retryShare = it.number("retry_share", 0, 1, "retries per first attempt", d.retryShare);
    out.progressTimeout = it.duration("progress_timeout", 50ms, 60s, d.progressTimeout);
    out.requestTimeout = it.duration("request_timeout", 100ms, 1h, d.requestTimeout);
    out.addressLifetime = it.duration("address_lifetime", 1s, 1h, d.addressLifetime);
    out.maxEjectedShare = it.number("max_ejected_share", 0, 0.9, "the pool", d.maxEjectedShare);
    it.finish();
}

} // namespace

void readInventory(YamlSection root, Inventory &out)
{
    readPlaces(root, out);
    readEngines(root, out);
    readServices(root, out);
    readWorkspacesAndOperators(root, out);
    readRules(root.section("rules"), out.rules);
    root.finish();
}

} // namespace catkinloft::internal
