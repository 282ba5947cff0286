#pragma once

#include <memory>
#include <optional>
#include <string>

namespace Json { // NOLINT(readability-identifier-naming): name of the library
class Value;
}

namespace catkinloft::internal {

/// \brief Parses JSON-RPC notifications of one method.
class NotificationReader
{
public:
    explicit NotificationReader(const std::string &method);
    ~NotificationReader();
    NotificationReader(const NotificationReader &) = delete;
    NotificationReader &operator=(const NotificationReader &) = delete;

    /// \returns the named parameters in \a text; nothing if it is not a notification of the method.
    std::optional<Json::Value> read(const std::string &text);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft::internal
