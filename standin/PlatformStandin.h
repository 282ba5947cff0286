#pragma once

#include "Standin.h"

#include <cstdint>
#include <map>
#include <string>

namespace catkinloft::standin {

/// \brief Base of the stand-ins for services of the platform. Limits the rates of reads and writes,
/// injects the faults set by `POST /v1/control` and reports counters at `GET /v1/counters`.
class PlatformStandin : public Standin
{
public:
    struct Options
    {
        EventLoop &loop;
        double writesPerSecond = 500;
        double readsPerSecond = 2000;
    };

    explicit PlatformStandin(Options options);

    void handle(const HttpExchangePtr &exchange) final;

protected:
    struct Answer
    {
        int status = 200;
        HttpHeaders headers = {};
        std::string body = {};
    };

    static Answer jsonAnswer(int status, const Json::Value &value);

    virtual bool isWrite(const HttpExchange &exchange) const = 0;

    /// \brief Executes the request at once.
    /// \returns the answer, which faults may delay or drop.
    virtual Answer answer(const HttpExchange &exchange) = 0;

    /// \returns whether faults and rate limits do not apply to the exchange.
    virtual bool isExempt(const HttpExchange &) const { return false; }

    /// \brief Keeps an exchange that has to wait, and passes its answer to deliver() later.
    /// \returns false if the exchange is to be answered at once.
    virtual bool defer(const HttpExchangePtr &) { return false; }

    /// \brief Sends \a answer, or delays or drops it according to the current mode.
    void deliver(const HttpExchangePtr &exchange, const Answer &answer);

    EventLoop &loop() const { return m_options.loop; }

private:
    enum class Mode {
        Up,
        Down, ///< Closes every connection without executing the request.
        Slow, ///< Executes the request at once and delays the answer.
        LoseAnswers, ///< Executes the request and closes the connection.
    };

    /// Limit and use of one kind of requests in the current second.
    struct Rate
    {
        double limit = 0;
        std::int64_t second = 0;
        double used = 0;
    };

    void control(const HttpExchangePtr &exchange);
    bool isOverRate(Rate &rate) const;

    Options m_options;
    Rate m_reads;
    Rate m_writes;
    Mode m_mode = Mode::Up;
    Duration m_delay = std::chrono::seconds(1);
    std::map<std::string, std::uint64_t> m_counters;
};

} // namespace catkinloft::standin
