#include "Base/ManualClock.h"
#include "Decide/Refusal.h"
#include "Request/ChatRequest.h"
#include "Request/IdentifyFilter.h"

#include <cstdint>
#include <string>
#include <string_view>

using namespace catkinloft;

namespace {

InventoryPtr inventory()
{
    static const InventoryPtr it = [] {
        auto out = std::make_shared<Inventory>();
        out->workspaces.push_back({.name = "w", .keySha256 = std::string(64, 'a')});
        out->services.push_back({.name = "s",
                                 .replicas = {{.address = "127.0.0.1:1", .failureDomain = "d"}},
                                 .idempotentMethods = {"GET"},
                                 .notRunStatuses = {}});
        return out;
    }();
    return it;
}

/// Runs IdentifyFilter on a request whose path and headers are the first line of \a text and whose
/// body is the rest.
void identify(std::string_view text)
{
    const std::size_t mark = text.find('\n');
    const std::string head(text.substr(0, mark));
    auto request = std::make_shared<RequestContext>();
    request->method = "POST";
    request->path = head;
    request->body = mark == std::string_view::npos ? std::string_view() : text.substr(mark + 1);
    request->header = [&](const char *) -> std::string_view { return head; };
    request->inventory = inventory();
    request->workspace = &request->inventory->workspaces.front();
    IdentifyFilter(seededRandom(1))(request, [](const Result<void> &) {});
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::string_view text(reinterpret_cast<const char *>(data) + 1, size - 1);
    if (data[0] % 3 == 0) {
        if (const Result<ChatRequest> chat = ChatRequest::parse(text))
            (void)chat.value().chatKey("workspace");
    } else if (data[0] % 3 == 1) {
        identify(text);
    } else {
        const std::vector<SharedKey> keys = {{"k", "a-secret-of-the-fuzzer"}};
        (void)decodeRefusal(text, keys);
    }
    return 0;
}
