#pragma once

#include "Standin.h"

#include <cstdint>
#include <map>
#include <string>

namespace catkinloft::standin {

/// \brief A service of the platform: limits the rate of reads and writes, can be made to fail by
/// `POST /v1/control` and counts by `GET /v1/counters`.
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

    /// \brief Takes effect at once; whether the caller gets to see the answer is another matter.
    virtual Answer answer(const HttpExchange &exchange) = 0;

    /// \returns whether \a exchange comes from somebody whom no fault concerns.
    virtual bool isExempt(const HttpExchange &) const { return false; }

    /// \brief Takes an exchange that is to wait, and deliver()s its answer later.
    /// \returns false for one that is answered at once.
    virtual bool defer(const HttpExchangePtr &) { return false; }

    /// \brief Sends \a answer as the faults that are set allow.
    void deliver(const HttpExchangePtr &exchange, const Answer &answer);

    EventLoop &loop() const { return m_options.loop; }

private:
    enum class Mode {
        Up,
        Down, ///< Breaks every connection; nothing takes effect.
        Slow, ///< Takes effect at once and answers late.
        LoseAnswers, ///< Takes effect and breaks the connection.
    };

    /// Requests of one kind in the second at hand.
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
