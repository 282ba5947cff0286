#include "Net/HttpClient.h"
#include "Net/PlatformAdapters.h"

#include <fmt/format.h>

namespace catkinloft {

namespace {

Error storeError(int status)
{
    return {.reason = Reason::StoreUnavailable,
            .detail = fmt::format("the object store answered {}", status)};
}

class HttpObjectStore final : public ObjectStore
{
public:
    HttpObjectStore(HttpClient &client, const PlatformSettings &settings)
        : m_client(client), m_settings(settings)
    { }

    void put(std::string name, std::string body, Callback<void> done) override
    {
        m_client.fetch(call("PUT", name, std::move(body)),
                       [done = std::move(done)](Result<HttpAnswer> answer) {
                           if (!answer)
                               done(answer.error());
                           else if (answer.value().head.status / 100 != 2)
                               done(storeError(answer.value().head.status));
                           else
                               done(outcome::success());
                       });
    }

    void get(std::string name, Callback<std::optional<std::string>> done) override
    {
        m_client.fetch(call("GET", name, {}), [done = std::move(done)](Result<HttpAnswer> answer) {
            if (!answer)
                done(answer.error());
            else if (answer.value().head.status == 404)
                done(std::optional<std::string>());
            else if (answer.value().head.status != 200)
                done(storeError(answer.value().head.status));
            else
                done(std::optional(std::move(answer.value().body)));
        });
    }

private:
    HttpCall call(const char *method, const std::string &name, std::string body) const
    {
        return {.address = m_settings.objectStore,
                .method = method,
                .target = "/v1/objects/" + name,
                .headers = {},
                .body = std::move(body),
                .timeout = m_settings.timeout};
    }

    HttpClient &m_client;
    PlatformSettings m_settings;
};

} // namespace

std::unique_ptr<ObjectStore> makeHttpObjectStore(HttpClient &client,
                                                 const PlatformSettings &settings)
{
    return std::make_unique<HttpObjectStore>(client, settings);
}

} // namespace catkinloft
