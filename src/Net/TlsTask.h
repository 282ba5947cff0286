#pragma once

#include "Base/Metrics.h"
#include "Net/TlsContext.h"

#include <memory>

namespace catkinloft {

class EventLoop;

/// \brief Loads a router's TLS files at startup, on SIGHUP and when one of them has changed.
///
/// A metric reports when the certificate expires.
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

    /// \returns false, after logging the reason, if the files can't be used. The router must not
    /// start then, because it would serve unencrypted what was meant to be encrypted.
    bool start();

    const TlsContext &context() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
