#include "Base/Utf8.h"

namespace catkinloft {

std::size_t utf8SequenceLength(std::string_view text)
{
    if (text.empty())
        return 0;
    const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    const unsigned first = byte(0);
    if (first < 0x80)
        return 1;
    const std::size_t n = first >= 0xF5 ? 0
            : first >= 0xF0             ? 4
            : first >= 0xE0             ? 3
            : first >= 0xC2             ? 2
                                        : 0;
    if (n == 0 || text.size() < n)
        return 0;
    for (std::size_t i = 1; i < n; ++i) {
        if ((byte(i) & 0xC0) != 0x80)
            return 0;
    }
    const unsigned second = byte(1);
    const bool overlong = (first == 0xE0 && second < 0xA0) || (first == 0xF0 && second < 0x90);
    const bool surrogate = first == 0xED && second > 0x9F;
    const bool tooLarge = first == 0xF4 && second > 0x8F;
    return overlong || surrogate || tooLarge ? 0 : n;
}

bool isUtf8(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t n = utf8SequenceLength(text);
        if (n == 0)
            return false;
        text.remove_prefix(n);
    }
    return true;
}

} // namespace catkinloft
