#include "Request/RouteTable.h"

#include <doctest/doctest.h>

using namespace catkinloft;

namespace {

struct RouteTableFixture
{
    RouteTableFixture()
    {
        auto it = std::make_shared<RouteConfig>();
        it->routes = {{.name = "root", .host = "h.example", .pathPrefix = "/"},
                      {.name = "a", .host = "h.example", .pathPrefix = "/a/"},
                      {.name = "ab", .host = "h.example", .pathPrefix = "/a/b/"},
                      {.name = "other", .host = "o.example", .pathPrefix = "/a/"}};
        it->workspaces = {{.name = "w", .apiKeys = {"k1", "k2"}}, {.name = "v", .apiKeys = {"k3"}}};
        table = std::make_unique<RouteTable>(it);
    }

    std::string at(std::string_view host, std::string_view path) const
    {
        const Route *it = table->match(host, path);
        return it ? it->name : "none";
    }

    std::unique_ptr<RouteTable> table;
};

} // namespace

TEST_CASE_FIXTURE(RouteTableFixture, "routeTable_severalPrefixesFit_longestWins")
{
    CHECK(at("h.example", "/a/b/c/d") == "ab");
    CHECK(at("h.example", "/a/bc") == "a");
    CHECK(at("h.example", "/a/b") == "a");
    CHECK(at("h.example", "/x") == "root");
    CHECK(at("h.example", "/") == "root");
}

TEST_CASE_FIXTURE(RouteTableFixture, "routeTable_otherHostOrPath_hasNoRoute")
{
    CHECK(at("o.example", "/b/") == "none");
    CHECK(at("o.example", "/a") == "none");
    CHECK(at("x.example", "/a/") == "none");
    CHECK(at("h.example", "") == "none");
}

TEST_CASE_FIXTURE(RouteTableFixture, "routeTable_hostWithPortAndCapitals_matches")
{
    CHECK(at("O.Example:8227", "/a/z") == "other");
}

TEST_CASE_FIXTURE(RouteTableFixture, "routeTable_key_findsItsWorkspace")
{
    CHECK(table->workspaceOf("k2")->name == "w");
    CHECK(table->workspaceOf("k3")->name == "v");
    CHECK(table->workspaceOf("") == nullptr);
}
