#pragma once

#include "Base/Clock.h"
#include "Base/Metrics.h"
#include "Control/StreamOriginCodec.h"
#include "Net/HttpClient.h"
#include "Net/HttpExchange.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief Finds out which software began a stream that a caller resumes, by asking the routers that
/// keep its origin, and answers such questions.
///
/// If no router knows the origin, their lists of replicas may still prove it, \sa proveOrigin(), or
/// the platform's store may have it, \sa StreamOriginStore. If only a newer list of replicas is
/// missing for a proof, the answer waits for one, for a short time.
class StreamOriginTask
{
public:
    /// Number of routers that keep the origin of one stream.
    static constexpr std::size_t Keepers = 3;

    struct Options
    {
        const Clock &clock;
        Metrics &metrics;
        /// Sends a question to another router. \sa HttpClient::fetch
        std::function<void(HttpCall call, std::function<void(Result<HttpAnswer>)> done)> fetch;
        /// Returns what this router knows.
        std::function<StreamOriginReport(const StreamOriginQuestion &)> ownReport;
        /// Returns the addresses of the \a n routers that keep the origin of \a stream first.
        std::function<std::vector<std::string>(std::string_view stream, std::size_t n)> keepers;
        /// Reads the origins that are kept in the platform's store and calls \a done, after which
        /// \a ownReport contains them. Used if no router knows an origin.
        std::function<void(std::function<void()> done)> readStored =
                [](const std::function<void()> &done) { done(); };
        /// Reads the list of replicas again, after which listRead() is called.
        std::function<void()> refreshList = [] {};
        /// Calls poll() after a delay.
        std::function<void(Duration delay)> pollAfter = [](Duration) {};
        /// Signs a text with the key of the fleet.
        std::function<std::string(std::string_view text)> sign;
        /// Whether a signature of the key of the fleet is valid for a text.
        std::function<bool(std::string_view signature, std::string_view text)> verify;
    };

    /// Called with the software that began the stream, or with nothing if that can't be proven.
    using Found = std::function<void(std::optional<std::string> software)>;

    explicit StreamOriginTask(Options options) : m_options(std::move(options)) { }

    /// \param found is called once, possibly from within this function.
    void find(const StreamOriginQuestion &question, Found found);

    /// \brief Notes that the list of replicas was read from the store, here or by another router.
    void listRead();

    /// \brief Ends what has waited for too long. \sa Options::pollAfter
    void poll();

    /// \returns whether \a exchange is meant for handle().
    static bool accepts(const HttpExchange &exchange);

    /// \brief Answers the question of another router.
    void handle(const HttpExchangePtr &exchange);

private:
    struct Inquiry;

    void ask(const std::string &address, const std::string &text, bool isKeeper,
             const std::shared_ptr<Inquiry> &inquiry);
    void conclude(const std::shared_ptr<Inquiry> &inquiry);
    void settle(Inquiry &inquiry);
    void settleAll();
    void schedulePoll();
    void finish(Inquiry &inquiry, std::optional<std::string> software, const char *how);

    Options m_options;
    std::vector<std::shared_ptr<Inquiry>> m_waiting; ///< For the store or a newer list.
    TimePoint m_nextPollAt = TimePoint::max(); ///< \sa Options::pollAfter
};

} // namespace catkinloft
