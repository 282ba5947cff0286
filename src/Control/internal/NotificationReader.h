#pragma once

#include <memory>
#include <optional>
#include <string>

namespace Json { // NOLINT(readability-identifier-naming): name of the library
class Value;
}

namespace catkinloft::internal {

/// \brief Reads JSON-RPC notifications of one method.
class NotificationReader
{
public:
    explicit NotificationReader(const std::string &method);
    ~NotificationReader();
    NotificationReader(const NotificationReader &) = delete;
    NotificationReader &operator=(const NotificationReader &) = delete;

    /// \returns the named parameters in \a text; nothing where it is no such notification.
    std::optional<Json::Value> read(const std::string &text);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft::internal
