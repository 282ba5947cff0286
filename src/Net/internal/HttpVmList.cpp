#include "Base/Json.h"
#include "Base/Log.h"
#include "Net/HttpClient.h"
#include "Net/PlatformAdapters.h"

#include <fmt/format.h>

namespace catkinloft {

namespace {

VmEntry vmOf(const Json::Value &it)
{
    return {.name = it["name"].asString(),
            .callerAddress = it["caller_address"].asString(),
            .peerAddress = it["peer_address"].asString(),
            .failureDomain = it["failure_domain"].asString(),
            .leaving = it["state"].asString() == "leaving"};
}

class HttpVmList final : public VmList
{
public:
    HttpVmList(HttpClient &client, const PlatformSettings &settings)
        : m_client(client), m_settings(settings)
    { }

    void read(std::function<void(Result<std::vector<VmEntry>>)> done) override
    {
        m_client.fetch({.address = m_settings.vmList,
                        .target = "/v1/vms",
                        .headers = {},
                        .body = {},
                        .timeout = m_settings.timeout},
                       [done = std::move(done)](const Result<HttpAnswer> &answer) {
                           if (!answer)
                               done(answer.error());
                           else
                               done(parse(answer.value()));
                       });
    }

private:
    static Result<std::vector<VmEntry>> parse(const HttpAnswer &answer)
    {
        if (answer.head.status != 200)
            return Error{.reason = Reason::StoreUnavailable,
                         .detail = fmt::format("the VM list answered {}", answer.head.status)};
        const Result<Json::Value> root = parseJsonObject(answer.body);
        if (!root)
            return root.error();
        std::vector<VmEntry> out;
        for (const Json::Value &it : root.value()["vms"]) {
            const Result<VmEntry> vm = readJson<VmEntry>(it, Reason::StoreUnavailable, &vmOf);
            if (vm && it["name"].isString())
                out.push_back(vm.value());
            else
                Log::warning("vm_entry_malformed",
                             {{"detail", vm ? "the name is no text" : vm.error().detail}});
        }
        return out;
    }

    HttpClient &m_client;
    PlatformSettings m_settings;
};

} // namespace

std::unique_ptr<VmList> makeHttpVmList(HttpClient &client, const PlatformSettings &settings)
{
    return std::make_unique<HttpVmList>(client, settings);
}

} // namespace catkinloft
