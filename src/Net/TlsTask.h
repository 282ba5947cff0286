#pragma once

#include "Base/Metrics.h"
#include "Net/TlsContext.h"

#include <memory>

namespace catkinloft {

class EventLoop;

/// \brief Keeps a router's TLS files current: reads them at the start, again on SIGHUP and when one
/// of them changed, and says in a metric when the certificate expires.
class TlsTask
{
public:
    struct Options
    {
        EventLoop &loop;
        Metrics &metrics;
        TlsSettings settings;
    };

    explicit TlsTask(Options options);
    ~TlsTask();

    /// \returns false, after logging why, where the files can't be used: a router never serves in
    /// the clear what was meant to be encrypted.
    bool start();

    const TlsContext &context() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
