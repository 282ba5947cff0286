#pragma once

#include "Base/Error.h"
#include "Control/PeerMessage.h"

#include <memory>
#include <string>

namespace catkinloft {

/// \brief Turns messages into JSON-RPC notifications and back.
///
/// Names on the wire have one or two letters and empty fields are left out: at 890 routers the
/// limit is 3 KB a second, and full names would take a third of it.
class PeerCodec
{
public:
    /// Longest datagram: under the smallest MTU of a tunnelled Ethernet, so that IP never
    /// fragments it, since one lost fragment loses all.
    static constexpr std::size_t MaxDatagram = 1200;

    PeerCodec();
    ~PeerCodec();
    PeerCodec(const PeerCodec &) = delete;
    PeerCodec &operator=(const PeerCodec &) = delete;

    static std::string encode(const PeerMessage &message);

    /// \returns the message; MalformedRequest for anything else.
    Result<PeerMessage> decode(const std::string &text);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
