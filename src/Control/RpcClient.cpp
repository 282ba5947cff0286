#include "Control/RpcClient.h"

#include <jsonrpccpp/client.h>

// This is the only C++14 translation unit (see CMakeLists.txt). It must not include project headers
// that need C++20.

namespace catkinloft {
namespace internal {

namespace {

/// Stores the text instead of sending it, as the connectors of the library block.
class TextConnector : public jsonrpc::IClientConnector
{
public:
    void SendRPCMessage(const std::string &message,
                        std::string &) throw(jsonrpc::JsonRpcException) override
    {
        text = message;
    }

    std::string text;
};

} // namespace

std::string encodeNotification(const std::string &method, const Json::Value &params)
{
    TextConnector connector;
    jsonrpc::Client client(connector);
    client.CallNotification(method, params);
    while (!connector.text.empty() && connector.text.back() == '\n')
        connector.text.pop_back();
    return std::move(connector.text);
}

} // namespace internal
} // namespace catkinloft
