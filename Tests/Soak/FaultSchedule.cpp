/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Timer.h>
#include <Tests/Soak/FaultSchedule.h>
#include <array>
#include <csignal>
#include <iostream>

namespace Soak {

using Fault = StandIns::PlatformRunner::Fault;

static constexpr Duration min_fault_duration = 300ms;
static constexpr Duration max_fault_duration = 4s;
/// After SIGTERM: `load_balancer_delay` of Libraries/LibServing/PlannedStop.cpp.
static constexpr Duration idle_close_delay = 2500ms;
/// Between a process's exit and its next start.
static constexpr Duration max_restart_delay = 1500ms;
/// Until the platform removes the entry of a crashed backend server from its list.
static constexpr Duration entry_lifetime = 1200ms;
/// A leaving backend server may run for up to this long after the end of its notice.
static constexpr Duration max_overtime = 6s;
static constexpr u32 max_corrupted_responses = 6;
/// Bound on the delay after a change of the configuration, so that hosts are killed at different points of applying it.
static constexpr Duration max_kill_delay = 50ms;
/// The most recent versions of its table that a stale platform has not seen.
static constexpr u64 versions_behind = 2;
/// Delays of each chunk of bytes. All are shorter than Deployment::list_recovery_time.
static constexpr Duration min_link_delay = 20ms;
static constexpr Duration max_host_link_delay = 700ms;
static constexpr Duration max_runner_link_delay = 500ms;
/// Added to the drain time, so that notices differ.
static constexpr Duration max_extra_notice = 1s;
/// Values of the setting `retries.ratio`.
static constexpr std::array retry_ratios { 0.1, 0.2, 0.3 };
/// One in this many faults of backend servers is drawn for the plain service, the others for engines.
static constexpr u32 draws_per_plain_server = 3;
/// A multiple of the usual numbers of failure domains, so that each domain is equally likely.
static constexpr u32 domain_draws = 16;

std::vector<FaultSchedule::Begin> FaultSchedule::kinds_of(Mix mix)
{
    std::vector<Begin> kinds {
        &FaultSchedule::stop_host,
        &FaultSchedule::reload_host,
        &FaultSchedule::change_configuration,
        &FaultSchedule::drain_runner,
        &FaultSchedule::unlist_runner,
    };
    auto add = [&kinds](std::initializer_list<Begin> more) { kinds.insert(kinds.end(), more); };
    // Added five times, so that corrupted responses are as likely as all planned work.
    if (mix == Mix::Responses)
        add({ &FaultSchedule::corrupt_responses, &FaultSchedule::corrupt_responses, &FaultSchedule::corrupt_responses,
            &FaultSchedule::corrupt_responses, &FaultSchedule::corrupt_responses, &FaultSchedule::crash_runner,
            &FaultSchedule::reset_runner_link });
    if (mix == Mix::Everything)
        add({ &FaultSchedule::kill_host, &FaultSchedule::kill_all_after_change, &FaultSchedule::freeze_host,
            &FaultSchedule::platform_busy, &FaultSchedule::platform_silent, &FaultSchedule::platform_loses_history,
            &FaultSchedule::platform_stale, &FaultSchedule::expire_entries, &FaultSchedule::block_platform_link,
            &FaultSchedule::delay_platform_link, &FaultSchedule::reset_platform_link, &FaultSchedule::block_peer_link,
            &FaultSchedule::delay_peer_link, &FaultSchedule::isolate_domain, &FaultSchedule::impair_runner_link,
            &FaultSchedule::reset_runner_link, &FaultSchedule::crash_runner, &FaultSchedule::corrupt_responses });
    return kinds;
}

FaultSchedule::FaultSchedule(Http::asio::io_context& loop, Deployment& deployment, u32 seed, u32 count, Duration length)
    : loop(loop)
    , deployment(deployment)
    , random(seed)
    , background_faults(loop, deployment, seed)
{
    auto const kinds = kinds_of(static_cast<Mix>(seed % mix_count));
    for (u32 i = 0; i < count; ++i)
        this->entries.push_back(
            { this->draw_duration(0s, length), kinds.at(this->draw_number(static_cast<u32>(kinds.size()))) });
}

void FaultSchedule::start()
{
    this->started_at = Deployment::now();
    for (auto const& entry : this->entries)
        this->after(entry.at, [this, begin = entry.begin] { (this->*begin)(); });
    this->background_faults.start();
}

void FaultSchedule::heal()
{
    this->is_over = true;
    this->background_faults.end();
    this->deployment.store.set_mode(StandIns::PlatformStore::Mode::Serving);
    this->deployment.store.set_version_lag(0);
    for (auto& host : this->deployment.hosts) {
        host->platform_link->heal();
        host->peer_link->heal();
        host->daemon->send_signal(SIGCONT);
    }
    for (auto& instance : this->deployment.runners)
        instance.link->heal();
}

void FaultSchedule::log_fault(std::string const& what) const
{
    std::cout << "  " << AK::to_milliseconds(Deployment::now() - this->started_at) << " ms  " << what << std::endl;
}

void FaultSchedule::after(Duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<AK::Timer>(this->loop, delay);
    timer->async_wait([this, timer, action = std::move(action)](boost::system::error_code error) {
        if (!error && !this->is_over)
            action();
    });
}

u32 FaultSchedule::draw_number(u32 below) { return draw_below(this->random, below); }

Duration FaultSchedule::draw_duration(Duration min, Duration max) { return draw_between(this->random, min, max); }

Duration FaultSchedule::draw_fault_duration() { return this->draw_duration(min_fault_duration, max_fault_duration); }

FaultProxy::Direction FaultSchedule::draw_direction()
{
    return this->draw_number(2) == 0 ? FaultProxy::Direction::ToTarget : FaultProxy::Direction::FromTarget;
}

HostInstance& FaultSchedule::draw_host()
{
    auto& hosts = this->deployment.hosts;
    return *hosts.at(this->draw_number(static_cast<u32>(hosts.size())));
}

RunnerInstance* FaultSchedule::draw_runner()
{
    auto const* service = this->draw_number(draws_per_plain_server) == 0 ? plain_service : engine_service;
    auto serving = this->deployment.serving(service);
    if (serving.size() <= min_serving)
        return nullptr;
    return serving.at(this->draw_number(static_cast<u32>(serving.size())));
}

// --- processes

void FaultSchedule::restart_later(HostInstance& host)
{
    auto delay = this->draw_duration(min_fault_duration, max_restart_delay);
    this->deployment.mark_affected(host, delay + aftermath);
    this->after(delay, [this, &host] { this->deployment.start_host(host); });
}

void FaultSchedule::kill_host()
{
    auto& host = this->draw_host();
    this->log_fault("kill " + host.name);
    this->deployment.kill_host(host);
    this->restart_later(host);
}

void FaultSchedule::kill_all_after_change()
{
    this->log_fault("the configuration changes and all hosts are killed");
    this->deployment.put_configuration();
    this->deployment.mark_all_affected(max_restart_delay + aftermath);
    this->after(this->draw_duration(0s, max_kill_delay), [this] {
        for (auto& host : this->deployment.hosts) {
            this->deployment.kill_host(*host);
            this->restart_later(*host);
        }
    });
}

void FaultSchedule::stop_host()
{
    auto& host = this->draw_host();
    if (!host.daemon->is_running() || host.stopping_since)
        return;
    this->log_fault("planned stop of " + host.name);
    this->deployment.stop_host(host);
    // It is started again after its stop grace. Its exit alone does not mark it as affected by a fault.
    auto delay = Deployment::stop_grace + this->draw_duration(min_fault_duration, max_restart_delay);
    this->after(delay, [this, &host] { this->deployment.start_host(host); });
    // Requests are then waiting for the host when it looks for idle connections to close.
    this->after(
        idle_close_delay - idle_timeout / 2, [this, &host] { this->deployment.freeze_host(host, idle_timeout); });
}

void FaultSchedule::freeze_host()
{
    auto& host = this->draw_host();
    auto duration = this->draw_fault_duration();
    this->log_fault("freeze " + host.name);
    this->deployment.mark_affected(host, duration + aftermath);
    this->deployment.freeze_host(host, duration);
}

void FaultSchedule::reload_host()
{
    auto& host = this->draw_host();
    this->log_fault("change the settings of " + host.name);
    this->deployment.write_settings(host, retry_ratios.at(this->draw_number(static_cast<u32>(retry_ratios.size()))));
    // The signal would terminate a process that is still starting.
    if (Deployment::is_unaffected_since(host, Deployment::now()))
        host.daemon->send_signal(SIGHUP);
}

// --- the platform

void FaultSchedule::begin_platform_mode(StandIns::PlatformStore::Mode mode, std::string const& what)
{
    auto duration = this->draw_fault_duration();
    this->log_fault(what);
    this->deployment.mark_all_affected(duration + aftermath);
    this->deployment.store.set_mode(mode);
    this->after(duration, [this] { this->deployment.store.set_mode(StandIns::PlatformStore::Mode::Serving); });
}

void FaultSchedule::platform_busy()
{
    this->begin_platform_mode(StandIns::PlatformStore::Mode::Busy, "the platform rejects all calls");
}

void FaultSchedule::platform_silent()
{
    this->begin_platform_mode(StandIns::PlatformStore::Mode::Silent, "the platform is silent");
}

void FaultSchedule::platform_loses_history()
{
    this->log_fault("the platform loses its history");
    this->deployment.mark_all_affected(aftermath);
    this->deployment.store.discard_history();
}

void FaultSchedule::platform_stale()
{
    auto duration = this->draw_fault_duration();
    this->log_fault("the platform returns an older state");
    this->deployment.mark_all_affected(duration + aftermath);
    this->deployment.store.set_version_lag(versions_behind);
    this->after(duration, [this] { this->deployment.store.set_version_lag(0); });
}

void FaultSchedule::expire_entries()
{
    auto serving = this->deployment.serving(engine_service);
    if (serving.empty())
        return;
    auto duration = this->draw_fault_duration();
    this->log_fault("the platform is unavailable, and entries expire meanwhile");
    this->deployment.mark_all_affected(duration + Deployment::list_recovery_time + aftermath);
    this->deployment.store.set_mode(StandIns::PlatformStore::Mode::Silent);
    for (auto* instance : serving)
        this->deployment.store.remove(Deployment::servers_table, instance->id);
    this->after(duration, [this, serving] {
        this->deployment.store.set_mode(StandIns::PlatformStore::Mode::Serving);
        for (auto* instance : serving) {
            auto delay = this->draw_duration(0s, Deployment::list_recovery_time / 2);
            this->after(delay, [this, instance] {
                if (!instance->is_terminated && !instance->leaving_since)
                    this->deployment.put_row(*instance);
            });
        }
    });
}

void FaultSchedule::change_configuration()
{
    this->log_fault("the configuration changes");
    this->deployment.put_configuration();
}

// --- links

template<typename Link>
Link& FaultSchedule::impair_link(HostInstance& host, Link& link, std::string const& what)
{
    auto duration = this->draw_fault_duration();
    this->log_fault(what);
    this->deployment.mark_affected(host, duration + aftermath);
    this->after(duration, [&link] { link.heal(); });
    return link;
}

void FaultSchedule::block_platform_link()
{
    auto& host = this->draw_host();
    auto& link = this->impair_link(
        host, *host.platform_link, host.name + " is partitioned from the platform in one direction");
    link.hold(this->draw_direction());
}

void FaultSchedule::delay_platform_link()
{
    auto& host = this->draw_host();
    auto& link = this->impair_link(host, *host.platform_link, "a slow link from " + host.name + " to the platform");
    link.set_delay(this->draw_duration(min_link_delay, max_host_link_delay));
}

void FaultSchedule::reset_platform_link()
{
    auto& host = this->draw_host();
    this->log_fault("connections of " + host.name + " to the platform are reset");
    this->deployment.mark_affected(host, aftermath);
    host.platform_link->reset_all();
}

void FaultSchedule::block_peer_link()
{
    auto& host = this->draw_host();
    auto& link
        = this->impair_link(host, *host.peer_link, "all messages of the other hosts to " + host.name + " are dropped");
    link.drop_all();
}

void FaultSchedule::delay_peer_link()
{
    auto& host = this->draw_host();
    auto& link = this->impair_link(host, *host.peer_link, "slow and lossy links from the other hosts to " + host.name);
    // Three times the loss rate of the worst days known (2.5 %).
    constexpr u32 drop_one_in = 13;
    link.set_slow_and_lossy(this->draw_duration(min_link_delay, max_host_link_delay), drop_one_in);
}

void FaultSchedule::isolate_domain()
{
    auto const domain = this->deployment.domain(this->draw_number(domain_draws));
    auto duration = this->draw_fault_duration();
    this->log_fault(domain + " is partitioned from the platform and the other hosts");
    for (auto& host : this->deployment.hosts) {
        if (host->domain != domain)
            continue;
        this->deployment.mark_affected(*host, duration + aftermath);
        host->platform_link->hold_all();
        host->peer_link->drop_all();
        this->after(duration, [affected = host.get()] {
            affected->platform_link->heal();
            affected->peer_link->heal();
        });
    }
}

void FaultSchedule::impair_runner_link()
{
    auto* instance = this->draw_runner();
    if (!instance)
        return;
    auto duration = this->draw_fault_duration();
    this->log_fault("the link to " + instance->id + " is impaired");
    this->deployment.mark_all_affected(duration + aftermath);
    instance->affected_until = std::max(instance->affected_until, Deployment::now() + duration + aftermath);
    switch (this->draw_number(3)) {
    case 0:
        instance->link->set_delay(this->draw_duration(min_link_delay, max_runner_link_delay));
        break;
    case 1:
        instance->link->hold(this->draw_direction());
        break;
    default:
        instance->link->hold_all();
    }
    this->after(duration, [instance] { instance->link->heal(); });
}

void FaultSchedule::reset_runner_link()
{
    auto* instance = this->draw_runner();
    if (!instance)
        return;
    this->log_fault("connections to " + instance->id + " are reset");
    this->deployment.mark_all_affected(aftermath);
    instance->affected_until = std::max(instance->affected_until, Deployment::now() + aftermath);
    instance->link->reset_all();
}

// --- backend servers

void FaultSchedule::crash_runner()
{
    auto* instance = this->draw_runner();
    if (!instance)
        return;
    this->log_fault(instance->id + " crashes");
    this->deployment.mark_all_affected(entry_lifetime + aftermath);
    this->deployment.terminate_runner(*instance);
    this->deployment.add_runner(instance->service, instance->domain);
    this->after(entry_lifetime, [this, instance] { this->deployment.remove_row(*instance); });
}

void FaultSchedule::schedule_termination(RunnerInstance& instance, Duration time_left)
{
    this->after(time_left + this->draw_duration(0s, max_overtime), [this, &instance] {
        this->deployment.remove_row(instance);
        this->deployment.terminate_runner(instance);
    });
}

void FaultSchedule::drain_runner()
{
    auto* instance = this->draw_runner();
    if (!instance)
        return;
    this->log_fault(instance->id + " drains");
    auto time_left = Deployment::drain_time + this->draw_duration(0s, max_extra_notice);
    this->deployment.add_runner(instance->service, instance->domain);
    this->deployment.drain(*instance, time_left);
    this->schedule_termination(*instance, time_left);
}

void FaultSchedule::unlist_runner()
{
    auto* instance = this->draw_runner();
    if (!instance)
        return;
    this->log_fault(instance->id + " is removed from the list and keeps serving for a while");
    this->deployment.add_runner(instance->service, instance->domain);
    this->deployment.remove_row(*instance);
    this->schedule_termination(*instance, Deployment::drain_time);
}

void FaultSchedule::corrupt_responses()
{
    static constexpr std::array faults { Fault::NotRun, Fault::Misdirected, Fault::LoseResponse, Fault::Fail,
        Fault::Unsigned, Fault::Hang };
    auto* instance = this->draw_runner();
    if (!instance)
        return;
    this->log_fault(instance->id + " corrupts responses");
    this->deployment.mark_all_affected(aftermath);
    instance->corrupts_responses = true;
    // The bound is drawn again on each iteration, which makes two to four faults likelier than one or six.
    for (u32 i = 0; i <= this->draw_number(max_corrupted_responses); ++i)
        instance->runner->add_fault(faults.at(this->draw_number(static_cast<u32>(faults.size()))));
}

}
