#include "Request/EntryFilters.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct EntryFiltersFixture
{
    EntryFiltersFixture()
    {
        auto it = std::make_shared<RouteConfig>();
        it->routes = {{.name = "keyed", .host = "h", .pathPrefix = "/k/", .targets = {{"s"}}},
                      {.name = "open",
                       .host = "h",
                       .pathPrefix = "/o/",
                       .needsKey = false,
                       .targets = {{"s"}}}};
        it->workspaces = {{.name = "w", .apiKeys = {"key"}}};
        routes = std::make_shared<RouteTable>(it);
    }

    Result<void> run(const std::string &path, const std::string &key)
    {
        request = {.method = "GET",
                   .target = path,
                   .path = path,
                   .host = "h",
                   .facts = {.id = "r", .key = key}};
        return filters.run(request);
    }

    std::shared_ptr<const RouteTable> routes;
    Duration age = 0s;
    EntryFilters filters{{.routes = [this] { return routes; },
                          .proofAge = [this] { return age; },
                          .proofLimit = 5s}};
    EntryRequest request;
};

} // namespace

TEST_CASE_FIXTURE(EntryFiltersFixture, "entryFilters_knownKey_findsRouteAndWorkspace")
{
    REQUIRE(run("/k/a", "key"));
    CHECK(request.route->name == "keyed");
    CHECK(request.workspace->name == "w");
}

TEST_CASE_FIXTURE(EntryFiltersFixture, "entryFilters_eachRefusal_hasItsReason")
{
    CHECK(run("/k/a", "").error().reason == Reason::NoKey);
    CHECK(run("/k/a", "x").error().reason == Reason::UnknownKey);
    CHECK(run("/none/", "key").error().reason == Reason::NotFound);
    CHECK(run("k", "key").error().reason == Reason::MalformedRequest);
    routes = nullptr;
    CHECK(run("/k/a", "key").error().reason == Reason::NotReady);
}

TEST_CASE_FIXTURE(EntryFiltersFixture, "entryFilters_proofNearItsLimit_refusesKeysOnly")
{
    age = 4900ms;
    const Result<void> refused = run("/k/a", "key");
    CHECK(refused.error().reason == Reason::StoreUnavailable);
    CHECK((refused.error().verdict == Verdict::NotRun));
    CHECK(refused.error().retryAfter);
    REQUIRE(run("/o/a", "key"));
    CHECK(request.workspace == nullptr); // The key may have been revoked.
}

TEST_CASE_FIXTURE(EntryFiltersFixture, "entryFilters_noProofRequired_servesAtAnyAge")
{
    age = Duration::max();
    const EntryFilters open({.routes = [this] { return routes; },
                             .proofAge = [this] { return age; },
                             .requiresProof = false});
    run("/k/a", "key").has_value();
    CHECK(open.run(request));
}
