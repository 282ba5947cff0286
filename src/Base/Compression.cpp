#include "Base/Compression.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>
#include <zlib.h>

namespace catkinloft {

namespace {

/// Size of the output buffer. Decompressing in chunks of this size stops at the size limit, so that
/// a short input cannot allocate much memory.
constexpr std::size_t ChunkSize = 64 * 1024;

/// For short texts. A negative value selects a raw stream, without header and checksum; 12 bits are
/// a window of 4 KB.
constexpr int ShortWindowBits = -12;
constexpr int ShortMemoryLevel = 5;

const Bytef *bytesOf(std::string_view text)
{
    return reinterpret_cast<const Bytef *>(text.data());
}

Error malformed(std::string detail)
{
    return {.reason = Reason::MalformedRequest, .detail = std::move(detail)};
}

/// A zlib stream that is closed at the end of its scope.
struct Inflater
{
    explicit Inflater(int windowBits = MAX_WBITS)
    {
        ready = inflateInit2(&stream, windowBits) == Z_OK;
    }
    ~Inflater() { inflateEnd(&stream); }
    Inflater(const Inflater &) = delete;
    Inflater &operator=(const Inflater &) = delete;

    z_stream stream{};
    bool ready = false;
};

} // namespace

std::string compress(std::string_view text)
{
    uLongf n = compressBound(static_cast<uLong>(text.size()));
    std::string out(n, '\0');
    compress2(reinterpret_cast<Bytef *>(out.data()), &n,
              reinterpret_cast<const Bytef *>(text.data()), static_cast<uLong>(text.size()),
              Z_BEST_SPEED);
    out.resize(n);
    return out;
}

namespace {

Result<std::string> inflateAll(Inflater &it, std::string_view bytes, std::size_t maxSize)
{
    // next_in is a pointer to non-const, but zlib does not write to its input.
    it.stream.next_in = const_cast<Bytef *>(bytesOf(bytes));
    it.stream.avail_in = static_cast<uInt>(bytes.size());
    std::string out;
    std::array<char, ChunkSize> chunk;
    int state = Z_OK;
    while (state == Z_OK && out.size() <= maxSize) {
        it.stream.next_out = reinterpret_cast<Bytef *>(chunk.data());
        it.stream.avail_out = static_cast<uInt>(chunk.size());
        state = inflate(&it.stream, Z_NO_FLUSH);
        out.append(chunk.data(), chunk.size() - it.stream.avail_out);
    }
    if (out.size() > maxSize)
        return malformed(fmt::format("decompressed text is longer than {} bytes", maxSize));
    if (state != Z_STREAM_END || it.stream.avail_in != 0)
        return malformed("compressed text is truncated or malformed");
    return out;
}

} // namespace

Result<std::string> decompress(std::string_view bytes, std::size_t maxSize)
{
    Inflater it;
    if (!it.ready)
        return malformed("cannot initialize decompression");
    return inflateAll(it, bytes, maxSize);
}

std::string compressShort(std::string_view text, std::string_view dictionary)
{
    z_stream stream{};
    if (deflateInit2(&stream, Z_DEFAULT_COMPRESSION, Z_DEFLATED, ShortWindowBits, ShortMemoryLevel,
                     Z_DEFAULT_STRATEGY)
        != Z_OK)
        return {};
    deflateSetDictionary(&stream, bytesOf(dictionary), static_cast<uInt>(dictionary.size()));
    std::string out(deflateBound(&stream, static_cast<uLong>(text.size())), '\0');
    stream.next_in = const_cast<Bytef *>(bytesOf(text));
    stream.avail_in = static_cast<uInt>(text.size());
    stream.next_out = reinterpret_cast<Bytef *>(out.data());
    stream.avail_out = static_cast<uInt>(out.size());
    deflate(&stream, Z_FINISH);
    out.resize(stream.total_out);
    deflateEnd(&stream);
    return out;
}

Result<std::string> decompressShort(std::string_view bytes, std::string_view dictionary,
                                    std::size_t maxSize)
{
    Inflater it(ShortWindowBits);
    if (!it.ready
        || inflateSetDictionary(&it.stream, bytesOf(dictionary),
                                static_cast<uInt>(dictionary.size()))
                != Z_OK)
        return malformed("cannot initialize decompression");
    return inflateAll(it, bytes, maxSize);
}

} // namespace catkinloft
