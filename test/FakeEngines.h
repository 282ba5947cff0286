#pragma once

#include "Base/ManualClock.h"
#include "Control/EngineClient.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace catkinloft {

/// \brief In-memory engines and weight store that implement EngineClient for tests of the
/// controllers. Answers are delivered by deliver(). Orders of one kind can be held back, to arrive
/// late.
class FakeEngines final : public EngineClient
{
public:
    struct Machine
    {
        EngineState state;
        bool checksFencing = true;
        EngineLoad load = {};
        CacheFeed feed = {};
        std::map<std::string, std::string> kv = {};
        bool isDown = false;
    };

    void readLoad(std::string address, Callback<EngineLoad> done) override
    {
        answer(
                address, [done](Machine &it) { done(it.load); }, done);
    }

    void readCacheEvents(std::string address, std::uint64_t, Callback<CacheFeed> done) override
    {
        answer(
                address, [done](Machine &it) { done(it.feed); }, done);
    }

    void readState(std::string address, Callback<EngineState> done) override
    {
        ++readings;
        m_read.insert(address);
        answer(
                address, [done](Machine &it) { done(it.state); }, done);
    }

    void sendOrder(std::string address, EngineOrder order, Callback<OrderAnswer> done) override
    {
        const bool isLoad = order.kind == OrderKind::LoadModel;
        if (isLoad)
            mostLoading = std::max(mostLoading, ++m_loading);
        auto run = [this, address, order, done, isLoad] {
            if (isLoad)
                --m_loading;
            done(obey(machines.at(address), order));
        };
        if (toString(order.kind) == holdOrders)
            m_held.push_back(std::move(run));
        else
            m_due.push_back({isLoad && clock ? clock->now() + loadTime : TimePoint(), run});
    }

    void exportKv(std::string address, std::string chat, Callback<std::string> done) override
    {
        answer(
                address,
                [done, chat](Machine &it) {
                    if (it.kv.contains(chat))
                        done(it.kv.at(chat));
                    else
                        done(Error{.reason = Reason::NotFound});
                },
                done);
    }

    void importKv(std::string address, std::string chat, std::string blob,
                  Callback<void> done) override
    {
        answer(
                address,
                [done, chat, blob](Machine &it) {
                    it.kv[chat] = blob;
                    done(outcome::success());
                },
                done);
    }

    void requestWeights(std::string, std::string, Callback<void> done) override
    {
        if (clock && m_openAt == TimePoint())
            m_openAt = clock->now() + weightStoreClosedFor;
        if (clock && clock->now() < m_openAt) {
            askedTooEarly += m_refusedOnce ? 1 : 0;
            m_refusedOnce = true;
            done(Error{.reason = Reason::UpstreamRefused, .retryAfter = m_openAt - clock->now()});
            return;
        }
        done(outcome::success());
    }

    /// \brief Delivers all answers that are due.
    void deliver()
    {
        for (Due &it : std::exchange(m_due, {})) {
            if (!clock || it.at <= clock->now())
                it.run();
            else
                m_due.push_back(std::move(it));
        }
    }

    std::size_t held() const { return m_held.size(); }

    /// \brief Executes the orders that were held back.
    void releaseHeld()
    {
        for (const auto &it : std::exchange(m_held, {}))
            it();
    }

    std::size_t machinesRead() const { return m_read.size(); }

    std::map<std::string, Machine> machines; ///< By address.
    std::vector<std::string> log; ///< Kinds of the executed orders.
    std::string holdOrders; ///< Kind of the orders to hold back.
    const ManualClock *clock = nullptr; ///< Without a clock, loading takes no time.
    Duration weightStoreClosedFor{};
    Duration loadTime{};
    int refused = 0;
    int askedTooEarly = 0;
    int mostLoading = 0;
    int readings = 0;

private:
    struct Due
    {
        TimePoint at;
        std::function<void()> run;
    };

    template<typename T>
    void answer(const std::string &address, std::function<void(Machine &)> run, Callback<T> done)
    {
        m_due.push_back({TimePoint(), [this, address, run, done] {
                             Machine &it = machines.at(address);
                             if (it.isDown)
                                 done(Error{.reason = Reason::UpstreamUnreachable});
                             else
                                 run(it);
                         }});
    }

    OrderAnswer obey(Machine &it, const EngineOrder &order)
    {
        if (it.checksFencing && order.fence < it.state.fence) {
            ++refused;
            return {.applied = false, .fence = it.state.fence};
        }
        if (it.checksFencing)
            it.state.fence = order.fence;
        log.emplace_back(toString(order.kind));
        if (order.kind == OrderKind::LoadAdapter)
            it.state.adapters.push_back(order.adapter);
        else if (order.kind == OrderKind::SetVersion)
            it.state.version = order.version;
        else if (order.kind == OrderKind::SetRole)
            it.state.role = order.role;
        return {.applied = true};
    }

    std::vector<Due> m_due;
    std::vector<std::function<void()>> m_held;
    std::set<std::string> m_read;
    int m_loading = 0;
    TimePoint m_openAt;
    bool m_refusedOnce = false;
};

} // namespace catkinloft
