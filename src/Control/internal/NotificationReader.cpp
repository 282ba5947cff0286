#include "Control/internal/NotificationReader.h"

#include <utility>

#include <json/json.h>
#include <jsonrpccpp/server.h>

namespace catkinloft::internal {

namespace {

/// Passes texts to the dispatcher of the library; notifications have no response.
class TextConnector final : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string &, void *) override { return true; }
};

class Receiver final : public jsonrpc::AbstractServer<Receiver>
{
public:
    Receiver(TextConnector &connector, const std::string &method) : AbstractServer(connector)
    {
        bindAndAddNotification(jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, nullptr),
                               &Receiver::take);
    }

    void take(const Json::Value &value) { params = value; }

    std::optional<Json::Value> params;
};

} // namespace

struct NotificationReader::Private
{
    explicit Private(const std::string &method) : receiver(connector, method) { }

    TextConnector connector;
    Receiver receiver;
};

NotificationReader::NotificationReader(const std::string &method)
    : m_d(std::make_unique<Private>(method))
{ }

NotificationReader::~NotificationReader() = default;

std::optional<Json::Value> NotificationReader::read(const std::string &text)
{
    m_d->receiver.params.reset();
    try {
        m_d->connector.OnRequest(text);
    } catch (const Json::Exception &) {
        // Nested too deeply: malformed like any other invalid input.
    }
    return std::exchange(m_d->receiver.params, std::nullopt);
}

} // namespace catkinloft::internal
