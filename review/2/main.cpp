#include "../kit/Kit.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr int TimeoutMs = 15'000; ///< `timeout-ms` of the route, and the client's deadline.
constexpr int SlackMs = 500; ///< The rule counts what has no answer this long after the timeout.
constexpr std::size_t UsualBytes = 12'000; ///< The mean of `req_bytes` in the site file.
constexpr std::size_t LongBytes = 72'000; ///< The largest of `req_bytes` in the site file.
constexpr std::size_t Clients = 12;

std::string eventText(int n)
{
    return "id: " + std::to_string(n) + "\ndata: piece " + std::to_string(n) + "\n\n";
}

std::string streamAnswer(const std::string &requestId)
{
    std::string body;
    for (int n = 1; n <= 5; ++n)
        body += eventText(n);
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + requestId
            + "\r\nX-Response-Signature: " + requestId
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void recordRun(const std::string &id, const Message &request, Record &record)
{
    record.add("replica " + id + " runs " + request.header("X-Request-Id") + ", body of "
               + std::to_string(request.body.size()) + " bytes");
}

/// Answers each request with a short stream at once.
void serve(Connection &connection, const std::string &id, Record &record)
{
    const std::string misdirected = "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id
            + "\r\nContent-Length: 0\r\n\r\n";
    while (true) {
        const Message request = connection.read(now() + 120s, false);
        if (!request.isComplete)
            return;
        if (request.header("X-Target-Instance") != id) {
            connection.send(misdirected);
            continue;
        }
        recordRun(id, request, record);
        connection.send(streamAnswer(request.header("X-Request-Id")));
    }
}

/// Sends one request. \returns whether it got its whole answer before the bound of the rule.
bool ask(Connection &connection, const std::string &id, std::size_t bytes, Record &record)
{
    record.add("client sends " + id + ", body of " + std::to_string(bytes) + " bytes");
    const TimePoint sentAt = now();
    const std::string text = requestText("POST", "/finding-aid-digest/2f",
                                         clientHeaders(id, TimeoutMs), std::string(bytes, 'x'));
    const bool sent = connection.send(text);
    const Message answer =
            connection.read(sentAt + std::chrono::milliseconds(TimeoutMs + SlackMs), true);
    const auto took = std::to_string((now() - sentAt) / 1ms);
    if (answer.isComplete) {
        record.add("client got " + std::to_string(answer.status()) + " for " + id + " after " + took
                   + " ms");
        return true;
    }
    record.add("client got NO ANSWER for " + id + " in " + took + " ms"
               + (sent ? "" : ", not all of it was taken"));
    return false;
}

int play(Record &record)
{
    const bool isOff = isTroubleOff();
    std::vector<ReplicaEntry> replicas;
    std::vector<std::unique_ptr<Listener>> listeners;
    for (int i = 0; i < 3; ++i) {
        replicas.push_back({"i-" + std::to_string(i), "catkin-readers", freePort()});
        listeners.push_back(std::make_unique<Listener>(
                replicas.back().port,
                [&record, id = replicas.back().id](Connection &it) { serve(it, id, record); }));
    }
    Fleet fleet(3, replicas, record);
    std::atomic<std::size_t> unanswered = 0;
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < Clients; ++i) {
        clients.emplace_back([&, i] {
            const std::string id = "client-" + std::to_string(i);
            Connection connection;
            if (!connection.open(fleet.port(i % fleet.size()))
                || !ask(connection, id + "-first", UsualBytes, record))
                giveUp("the first request of a connection was not served");
            std::this_thread::sleep_for(200ms);
            // Without the trouble, the long request goes over a connection of its own.
            if (isOff && !connection.open(fleet.port(i % fleet.size())))
                giveUp("no connection");
            if (!ask(connection, id + "-long", LongBytes, record))
                ++unanswered;
        });
    }
    for (std::thread &it : clients)
        it.join();
    // The clients have closed their connections. What that leaves is only recorded, not judged.
    std::this_thread::sleep_for(2s);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const std::int64_t before = fleet.router(i).processorMs();
        std::this_thread::sleep_for(1s);
        record.add("router " + std::to_string(i) + " uses "
                   + std::to_string(fleet.router(i).processorMs() - before)
                   + " ms of processor time in a second, and has "
                   + std::to_string(fleet.router(i).descriptors()) + " descriptors open");
    }
    bool areReady = true;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        areReady = areReady && fleet.isReady(i);
    // CONFIG: eight or more, and over a quarter.
    const bool isBroken = unanswered >= 8 && 4 * unanswered > Clients && areReady;
    const std::string summary = std::to_string(unanswered) + " of " + std::to_string(Clients)
            + " long requests had no answer " + std::to_string(SlackMs)
            + " ms after their route's timeout; all routers ready: " + (areReady ? "yes" : "no")
            + (isBroken ? "; CONFIG is broken" : "; CONFIG holds");
    record.add(summary);
    std::printf("%s\n", summary.c_str());
    return isBroken ? 1 : 0;
}

} // namespace

int main(int, char **argv)
{
    Record record(std::string(argv[1]) + "/record.txt");
    return runCase([&record] { return play(record); });
}
