#include "Request/RequestFraming.h"

#include <doctest/doctest.h>

#include <vector>

using namespace catkinloft;

namespace {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct FramingCase
{
    const char *method;
    const char *target;
    Headers headers;
    FramingFault fault;
};

} // namespace

TEST_CASE("requestFraming_eachAmbiguity_isReported")
{
    const std::vector<FramingCase> cases = {
            {"GET", "/", {}, FramingFault::None},
            {"GET", "/", {{"Content-Length", "0"}}, FramingFault::None},
            {"POST", "/a?b=c", {{"content-length", "12"}}, FramingFault::None},
            {"POST", "/", {{"Transfer-Encoding", "Chunked"}}, FramingFault::None},
            {"POST",
             "/",
             {{"Content-Length", "1"}, {"transfer-encoding", "chunked"}},
             FramingFault::LengthAndChunked},
            {"POST",
             "/",
             {{"Content-Length", "1"}, {"Content-Length", "1"}},
             FramingFault::RepeatedLength},
            {"POST", "/", {{"Content-Length", "+1"}}, FramingFault::BadLength},
            {"POST", "/", {{"Content-Length", "1, 1"}}, FramingFault::BadLength},
            {"POST", "/", {{"Content-Length", ""}}, FramingFault::BadLength},
            {"POST", "/", {{"Content-Length", "99999999999999999999"}}, FramingFault::BadLength},
            {"POST", "/", {{"Transfer-Encoding", "gzip, chunked"}}, FramingFault::UnknownCoding},
            {"POST", "/", {{"Transfer-Encoding", "chunked "}}, FramingFault::UnknownCoding},
            {"POST",
             "/",
             {{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "chunked"}},
             FramingFault::UnknownCoding},
            {"GET", "/", {{"Content-Length", "3"}}, FramingFault::UnreadBody},
            {"DELETE", "/", {{"Transfer-Encoding", "chunked"}}, FramingFault::UnreadBody},
            {"GET", "http://h/", {}, FramingFault::BadTarget},
            {"GET", "", {}, FramingFault::BadTarget},
            {"GET", "/a b", {}, FramingFault::BadTarget},
    };
    for (const FramingCase &it : cases) {
        CAPTURE(it.method);
        CAPTURE(it.target);
        const std::string expected(framingFaultName(it.fault));
        CAPTURE(expected);
        CHECK(std::string(framingFaultName(framingFault(it.method, it.target, it.headers)))
              == expected);
    }
}
