#include "Base/Settings.h"

namespace catkinloft {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t MinSecretBytes = 16;
constexpr std::int64_t MebiByte = 1024 * 1024;

std::vector<SharedKey> readKeys(YamlSection &root, std::string_view key)
{
    std::vector<SharedKey> out;
    for (YamlSection &it : root.sections(key)) {
        SharedKey shared{.id = it.text("id"), .secret = it.text("secret")};
        if (shared.secret.size() < MinSecretBytes)
            it.problem("secret", "expected at least 16 bytes");
        it.finish();
        out.push_back(std::move(shared));
    }
    if (out.empty())
        root.problem(key, "expected at least one key with id and secret");
    return out;
}

void readLimits(YamlSection it, ListenerLimits &out)
{
    const ListenerLimits d;
    out.maxHeaderBytes =
            static_cast<std::size_t>(it.integer("max_header_bytes", 1024, MebiByte, "bytes",
                                                static_cast<std::int64_t>(d.maxHeaderBytes)));
    out.maxBodyBytes =
            static_cast<std::size_t>(it.integer("max_body_bytes", 1024, 64 * MebiByte, "bytes",
                                                static_cast<std::int64_t>(d.maxBodyBytes)));
    out.maxConnections = static_cast<int>(
            it.integer("max_connections", 1, 1'000'000, "connections", d.maxConnections));
    out.idleTimeout = it.duration("idle_timeout", 100ms, 1h, d.idleTimeout);
    out.headerTimeout = it.duration("header_timeout", 100ms, 1h, d.headerTimeout);
    it.finish();
}

void readPlatform(YamlSection it, PlatformSettings &out)
{
    out.tableService = it.address("table_service");
    out.objectStore = it.address("object_store");
    out.vmList = it.address("vm_list");
    out.weightStore = it.address("weight_store", "");
    out.timeout = it.duration("timeout", 10ms, 60s, out.timeout);
    it.finish();
}

void readTls(YamlSection it, TlsSettings &out)
{
    out.certificateFile = it.text("certificate_file", "");
    out.keyFile = it.text("key_file", "");
    out.caFile = it.text("ca_file", "");
    if (out.certificateFile.empty() != out.keyFile.empty())
        it.problem({}, "expected certificate_file and key_file together, or neither");
    it.finish();
}

void readBuffers(YamlSection &root, Settings &out)
{
    out.maxStreamBuffer =
            static_cast<std::size_t>(root.integer("max_stream_buffer", 4096, 64 * MebiByte, "bytes",
                                                  static_cast<std::int64_t>(out.maxStreamBuffer)));
    out.maxRequestMemory = static_cast<std::size_t>(
            root.integer("max_request_memory", MebiByte, 16 * 1024 * MebiByte, "bytes",
                         static_cast<std::int64_t>(out.maxRequestMemory)));
    out.maxBuffered = static_cast<std::size_t>(
            root.integer("max_buffered", MebiByte, 16 * 1024 * MebiByte, "bytes",
                         static_cast<std::int64_t>(out.maxBuffered)));
}

} // namespace

std::shared_ptr<const Settings> Settings::parse(const std::string &text, const std::string &file,
                                                YamlProblems &problems)
{
    const std::size_t before = problems.size();
    const auto node = parseYaml(text, file, problems);
    if (!node)
        return nullptr;
    YamlSection root(*node, file, {}, problems);
    auto out = std::make_shared<Settings>();
    out->name = root.text("name");
    out->failureDomain = root.text("failure_domain");
    out->region = root.text("region");
    out->callerAddress = root.address("caller_address");
    out->peerAddress = root.address("peer_address");
    out->seeds = root.textList("seeds");
    for (const std::string &it : out->seeds) {
        if (!parseEndpoint(it))
            root.problem("seeds", "expected addresses as IP:PORT, found '" + it + "'");
    }
    out->peerKeys = readKeys(root, "peer_keys");
    out->refusalKeys = readKeys(root, "refusal_keys");
    out->bootstrapKeySha256 = root.text("bootstrap_key_sha256", "");
    readPlatform(root.section("platform"), out->platform);
    readLimits(root.section("limits"), out->limits);
    readTls(root.section("tls"), out->tls);
    out->drainGrace = root.duration("drain_grace", 0ms, 60s, out->drainGrace);
    out->drainTimeout = root.duration("drain_timeout", 100ms, 1h, out->drainTimeout);
    readBuffers(root, *out);
    root.finish();
    return problems.size() == before ? out : nullptr;
}

} // namespace catkinloft
