#include "Net/TlsTask.h"

#include "Base/Log.h"
#include "Net/EventLoop.h"
#include "Net/Timer.h"

#include <csignal>

namespace catkinloft {

namespace {

/// Interval of checks for changed files: without SIGHUP a new certificate is used after this time.
constexpr Duration FilePoll = std::chrono::seconds(10);

} // namespace

struct TlsTask::Private
{
    explicit Private(Options o)
        : options(std::move(o)),
          context(options.settings,
                  [this](bool sent, std::string_view alert) {
                      options.metrics.count("catkinloft_tls_alerts_total",
                                            Metrics::label("direction", sent ? "sent" : "received")
                                                    + "," + Metrics::label("alert", alert));
                  }),
          timer(options.loop, [this] { reloadIfChanged(); })
    { }

    bool load()
    {
        const Result<void> result = context.load(options.loop.wallNow());
        options.metrics.count("catkinloft_tls_reloads_total",
                              Metrics::label("result", result ? "loaded" : "refused"));
        if (!result)
            Log::error("tls_files_refused", {{"detail", result.error().detail}});
        else
            Log::info("tls_files_loaded");
        return result.has_value();
    }

    void reloadIfChanged()
    {
        // A refused replacement is retried, because its second file may not have been written yet.
        if (context.filesChanged())
            load();
    }

    void collect(Metrics &metrics)
    {
        if (!context.expiry())
            return;
        const auto left = *context.expiry() - options.loop.wallNow();
        metrics.set("catkinloft_tls_certificate_expires_seconds", toSeconds(left));
    }

    Options options;
    TlsContext context;
    Timer timer;
};

TlsTask::TlsTask(Options options) : m_d(std::make_unique<Private>(std::move(options))) { }

TlsTask::~TlsTask() = default;

bool TlsTask::start()
{
    if (!m_d->context.hasCertificate() && !m_d->context.verifiesUpstreams())
        return true;
    if (!m_d->load())
        return false;
    m_d->options.metrics.addCollector([d = m_d.get()](Metrics &metrics) { d->collect(metrics); });
    m_d->options.loop.onSignal(SIGHUP, [d = m_d.get()] { d->load(); });
    m_d->timer.startRepeating(FilePoll);
    return true;
}

const TlsContext &TlsTask::context() const
{
    return m_d->context;
}

} // namespace catkinloft
