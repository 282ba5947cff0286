#include "Decide/Dispatcher.h"

#include "Decide/Rendezvous.h"

#include <algorithm>

namespace catkinloft {

Dispatcher::Dispatcher(Options options) : m_options(std::move(options)) { }

void Dispatcher::setEngines(InventoryPtr inventory, std::string_view model)
{
    std::vector<Upstream> next;
    for (const std::size_t i : inventory->enginesOf(model)) {
        const Engine &it = inventory->engines[i];
        if (it.role != "serve")
            continue;
        next.push_back({.name = it.name,
                        .address = it.address,
                        .id = hash64(it.name),
                        .weight = it.weight,
                        .leaving = it.leaving});
    }
    m_upstreams = std::move(next);
    m_inventory = std::move(inventory);
}

void Dispatcher::setReplicas(InventoryPtr inventory, std::string_view service)
{
    std::vector<Upstream> next;
    const Service *found = inventory->service(service);
    for (const ServiceReplica &it : found ? found->replicas : std::vector<ServiceReplica>()) {
        next.push_back({.name = it.address,
                        .address = it.address,
                        .id = hash64(it.address),
                        .weight = 1,
                        .leaving = it.leaving});
    }
    m_upstreams = std::move(next);
    m_inventory = std::move(inventory);
}

void Dispatcher::setRouters(std::vector<RouterView> routers)
{
    m_routers = std::move(routers);
}

const RouterView *Dispatcher::ownerOf(const Upstream &upstream) const
{
    const RouterView *best = nullptr;
    double bestScore = 0;
    for (const RouterView &it : m_routers) {
        const double score = rendezvousScore(upstream.id, hash64(it.name), 1);
        if (!it.leaving && (!best || score > bestScore)) {
            best = &it;
            bestScore = score;
        }
    }
    return best;
}

Result<Assignment> Dispatcher::choose(const Job &job)
{
    const std::uint64_t key = job.chatKey != 0 ? job.chatKey : m_options.random();
    const Upstream *best = nullptr;
    double bestScore = 0;
    for (const Upstream &it : m_upstreams) {
        const bool excluded =
                std::find(job.excluded.begin(), job.excluded.end(), it.name) != job.excluded.end();
        const double score = rendezvousScore(key, it.id, it.weight);
        if (!it.leaving && !excluded && (!best || score > bestScore)) {
            best = &it;
            bestScore = score;
        }
    }
    if (!best) {
        return Error{.reason = Reason::NoLiveEngine,
                     .detail = "every upstream is leaving or has failed for this request",
                     .retryAfter = std::chrono::seconds(1)};
    }
    Assignment out{.upstream = best->name,
                   .address = best->address,
                   .relayed = false,
                   .waited = Duration::zero(),
                   .why = "first in the chat's order"};
    const RouterView *owner = job.chatKey != 0 && job.hops == 0 ? ownerOf(*best) : nullptr;
    if (owner && owner->name != m_options.self) {
        out.address = owner->callerAddress;
        out.relayed = true;
    }
    return out;
}

void Dispatcher::submit(Job job, Decided decided)
{
    Result<Assignment> result = choose(job);
    if (result) {
        m_running[job.id] = {.upstream = result.value().upstream, .work = job.work};
        for (Upstream &it : m_upstreams) {
            if (it.name == result.value().upstream) {
                it.work += job.work;
                ++it.inFlight;
            }
        }
    }
    decided(std::move(result));
}

void Dispatcher::cancel(JobId) { }

void Dispatcher::finished(JobId id, const AttemptReport &)
{
    const auto running = m_running.find(id);
    if (running == m_running.end())
        return;
    for (Upstream &it : m_upstreams) {
        if (it.name == running->second.upstream) {
            it.work -= running->second.work;
            --it.inFlight;
        }
    }
    m_running.erase(running);
}

void Dispatcher::poll() { }

TimePoint Dispatcher::nextDeadline() const
{
    return TimePoint::max();
}

} // namespace catkinloft
