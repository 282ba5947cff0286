#include "Net/RelayCodec.h"

#include "Net/HopByHopHeaders.h"

#include <array>
#include <charconv>
#include <vector>

#include <fmt/format.h>

namespace catkinloft {

namespace {

/// Stands for no suspects.
constexpr std::string_view NoSuspects = "-";

/// Words of the failure header.
constexpr std::string_view NotRun = "not_run";
constexpr std::string_view MayHaveRun = "may_have_run";
constexpr std::string_view AtReplica = "replica";
constexpr std::string_view AtRouter = "router";
constexpr std::string_view Crashed = "crashed";

/// \returns the parts of \a text between single separators.
std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> out;
    while (!text.empty()) {
        const std::size_t end = text.find(separator);
        out.push_back(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return out;
}

std::string suspectsWord(const RelayTicket &ticket)
{
    return ticket.suspects.empty() ? std::string(NoSuspects)
                                   : fmt::format("{}", fmt::join(ticket.suspects, ","));
}

/// \returns whether all of \a text is a number, which \a out then contains.
bool readNumber(std::string_view text, std::int64_t &out)
{
    const char *last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, out);
    return ec == std::errc() && end == last;
}

} // namespace

std::string RelayCodec::encode(const RelayTicket &ticket)
{
    return fmt::format("{} {} {} {} {}", ticket.replica, suspectsWord(ticket), ticket.sentAtMs,
                       ticket.number, ticket.signature);
}

Result<RelayTicket> RelayCodec::decode(std::string_view text)
{
    constexpr std::size_t Words = 5;
    const std::vector<std::string_view> all = split(text, ' ');
    const Error malformed{.reason = Reason::MalformedRequest, .detail = "not a relay ticket"};
    if (all.size() != Words)
        return malformed;
    RelayTicket out{.replica = std::string(all[0]), .signature = std::string(all[4])};
    if (all[1] != NoSuspects) {
        for (const std::string_view it : split(all[1], ','))
            out.suspects.emplace_back(it);
    }
    if (!readNumber(all[2], out.sentAtMs) || !readNumber(all[3], out.number))
        return malformed;
    return out;
}

std::string RelayCodec::signedText(const RelayTicket &ticket, std::string_view method,
                                   std::string_view target, const HttpHeaders &headers,
                                   std::string_view body)
{
    std::string out = fmt::format("{} {} {} {}\n{} {}\n", ticket.replica, suspectsWord(ticket),
                                  ticket.sentAtMs, ticket.number, method, target);
    for (const HttpHeader &it : headers)
        out += fmt::format("{}:{}\n", it.first, it.second);
    out += '\n';
    out += body;
    return out;
}

HttpHeaders RelayCodec::endToEnd(const HttpHeaders &headers)
{
    HttpHeaders out;
    const HopByHopHeaders hopByHop(headers);
    for (const HttpHeader &it : headers) {
        if (!hopByHop.contains(it.first) && !sameHeader(it.first, TicketHeader)
            && !sameHeader(it.first, FailureHeader))
            out.push_back(it);
    }
    return out;
}

HttpHeader RelayCodec::encodeFailure(const RelayFailure &failure)
{
    return {FailureHeader,
            fmt::format("{} {} {} {}", reasonInfo(failure.error.reason).code,
                        failure.error.verdict == Verdict::NotRun ? NotRun : MayHaveRun,
                        failure.isReplicaAtFault ? AtReplica : AtRouter,
                        failure.hasReplicaCrashed ? Crashed : NoSuspects)};
}

std::optional<RelayFailure> RelayCodec::decodeFailure(const HttpHead &head)
{
    constexpr std::size_t Words = 4;
    const std::string_view text = head.header(FailureHeader);
    if (text.empty())
        return std::nullopt;
    const std::vector<std::string_view> all = split(text, ' ');
    RelayFailure out{.error = {.reason = Reason::UpstreamBroken,
                               .verdict = Verdict::MayHaveRun,
                               .detail = fmt::format("the relaying router answered {}", text)}};
    if (all.size() != Words)
        return out;
    if (const std::optional<Reason> reason = reasonFromCode(all[0]))
        out.error.reason = *reason;
    if (all[1] == NotRun)
        out.error.verdict = Verdict::NotRun;
    out.isReplicaAtFault = all[2] == AtReplica;
    out.hasReplicaCrashed = all[3] == Crashed;
    return out;
}

} // namespace catkinloft
