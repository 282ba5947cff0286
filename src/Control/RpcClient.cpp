#include "Control/RpcClient.h"

#include <jsonrpccpp/client.h>

// The only C++14 unit: see CMakeLists.txt. It includes no header of ours that needs C++20.

namespace catkinloft {
namespace internal {

namespace {

/// Keeps the text in place of sending it, since the library's own connectors block.
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
