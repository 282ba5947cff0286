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
            {"POST", "/", {{"Content-Length ", "3"}}, FramingFault::BadName},
            {"POST", "/", {{"Transfer-Encoding\t", "chunked"}}, FramingFault::BadName},
            {"GET", "/", {{"", "x"}}, FramingFault::BadName},
            {"GET", "/", {{"X(a)", "x"}}, FramingFault::BadName},
            {"GET", "/", {{"X-A_b.c~1", "x"}}, FramingFault::None},
            {"GET", "/", {{"X-A", "a\tb \xc3\xa9"}}, FramingFault::None},
            {"GET", "/", {{"X-A", "a\rb"}}, FramingFault::BadValue},
            {"GET", "/", {{"X-A", "a\x01"}}, FramingFault::BadValue},
            {"GET", "/", {{"Host", "a"}, {"host", "a"}}, FramingFault::RepeatedField},
            {"GET",
             "/",
             {{"Authorization", "Bearer a"}, {"authorization", "Bearer b"}},
             FramingFault::RepeatedField},
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
