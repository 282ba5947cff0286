#pragma once

#include "Base/Error.h"
#include "Control/PeerMessage.h"

#include <memory>
#include <string>

namespace catkinloft {

/// \brief Encodes messages as JSON-RPC notifications and decodes them.
///
/// Field names on the wire have one or two letters and empty fields are omitted: with 890 routers
/// the limit is 3 KB a second, and full names would take up a third of it.
class PeerCodec
{
public:
    /// Longest datagram. It is below the smallest MTU of tunnelled Ethernet, so that IP never
    /// fragments it; one lost fragment would lose the whole datagram.
    static constexpr std::size_t MaxDatagram = 1200;

    PeerCodec();
    ~PeerCodec();
    PeerCodec(const PeerCodec &) = delete;
    PeerCodec &operator=(const PeerCodec &) = delete;

    static std::string encode(const PeerMessage &message);

    /// \returns the message; MalformedRequest for any other input.
    Result<PeerMessage> decode(const std::string &text);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
