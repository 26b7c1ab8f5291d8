/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Timer.h>
#include <Tests/Soak/Deployment.h>
#include <Tests/Support/Endpoints.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sys/wait.h>

namespace Soak {

// The users' bound on the requests to a backend server that advertises a limit. It applies once the contact time has
// passed, `limit_in_force_after`, to any window of the length `limit_window`. It counts the requests of a host from
// half a second after the host has relayed a response with the limit; `limit_known_after` allows another second for
// that first response.
static constexpr Duration limit_in_force_after = 3s;
static constexpr Duration limit_window = 4s;
static constexpr Duration limit_known_after = 1500ms;
/// A process may take this much longer than its stop grace to exit after SIGTERM, on a busy machine.
static constexpr Duration stop_lateness = 10s;
static constexpr double usual_retry_ratio = 0.2;
static constexpr Duration plain_work_time = 15ms;
/// A backend server may still get new work for this long after its notice.
static constexpr Duration max_new_work_delay = 4s;

Deployment::Deployment(Http::asio::io_context& loop, PromiseChecker& checker, DeploymentSize size, std::string program,
    std::string directory)
    : store_endpoint(Test::free_endpoint())
    , store(loop, this->store_endpoint)
    , loop(loop)
    , checker(checker)
    , size(size)
    , program(std::move(program))
    , directory(std::move(directory))
{
    std::filesystem::create_directories(this->directory);
    for (u32 i = 0; i < size.domains; ++i)
        this->domains.push_back("hall-" + std::string(1, static_cast<char>('a' + i)));
    for (u32 i = 0; i < size.domains * size.hosts_per_domain; ++i)
        this->make_host(this->domain(i), i + 1);
}

void Deployment::make_host(std::string const& domain, u32 number)
{
    auto host = std::make_unique<HostInstance>();
    host->name = "host-" + std::to_string(number);
    host->domain = domain;
    host->callers = Test::free_endpoint();
    host->readiness = Test::free_endpoint();
    host->slow_caller_link = std::make_unique<FaultProxy>(this->loop, Test::free_endpoint(), host->callers);
    host->platform_link = std::make_unique<FaultProxy>(this->loop, Test::free_endpoint(), this->store_endpoint);
    host->peer_link = std::make_unique<DatagramProxy>(this->loop, Test::free_endpoint(), Test::free_endpoint());
    host->settings_path = this->directory + '/' + host->name + ".yaml";
    host->daemon
        = std::make_unique<Daemon>(this->program, host->settings_path, this->directory + '/' + host->name + ".log");
    this->write_settings(*host, usual_retry_ratio);
    this->hosts.push_back(std::move(host));
}

void Deployment::write_settings(HostInstance const& host, double ratio) const
{
    std::ofstream file(host.settings_path);
    file << "host:\n  name: " << host.name << "\n  failure_domain: " << host.domain
         << "\n  callers_listen: " << host.callers << "\n  readiness_listen: " << host.readiness
         << "\n  peer_listen: " << host.peer_link->target_endpoint()
         << "\n  peer_address: " << host.peer_link->endpoint() << "\n  platform: " << host.platform_link->endpoint()
         << "\n  stop_grace: " << AK::to_milliseconds(stop_grace)
         << "ms\nbackends:\n  drain_time: " << AK::to_milliseconds(drain_time)
         << "ms\n  list_recovery_time: " << AK::to_milliseconds(list_recovery_time)
         << "ms\nretries:\n  ratio: " << ratio << "\n  hosts: " << this->size.domains * this->size.hosts_per_domain
         << '\n';
}

void Deployment::start()
{
    for (u32 i = 0; i < this->size.engines; ++i)
        this->add_runner(engine_service, this->domain(i));
    for (u32 i = 0; i < this->size.plain_servers; ++i)
        this->add_runner(plain_service, this->domain(i));
    this->put_configuration();
    for (auto& host : this->hosts)
        this->start_host(*host);
}

void Deployment::start_host(HostInstance& host)
{
    if (host.daemon->is_running())
        return;
    host.is_exit_expected = false;
    host.was_killed = false;
    host.stopping_since.reset();
    this->notices.host_started(host.name);
    host.daemon->start();
}

void Deployment::kill_host(HostInstance& host)
{
    host.is_exit_expected = true;
    host.was_killed = true;
    host.daemon->send_signal(SIGKILL);
}

void Deployment::freeze_host(HostInstance& host, Duration duration)
{
    host.frozen_until = std::max(host.frozen_until, now() + duration);
    this->notices.host_halted(host.name, now(), host.frozen_until);
    host.daemon->send_signal(SIGSTOP);
    auto timer = std::make_shared<AK::Timer>(this->loop, duration);
    timer->async_wait([timer, &host](boost::system::error_code error) {
        // A longer freeze may have begun meanwhile.
        if (!error && now() >= host.frozen_until)
            host.daemon->send_signal(SIGCONT);
    });
}

void Deployment::stop_host(HostInstance& host)
{
    host.is_exit_expected = true;
    host.stopping_since = now();
    host.daemon->send_signal(SIGTERM);
}

void Deployment::mark_affected(HostInstance& host, Duration duration)
{
    host.affected_until = std::max(host.affected_until, now() + duration);
}

void Deployment::mark_all_affected(Duration duration)
{
    for (auto& host : this->hosts)
        this->mark_affected(*host, duration);
}

RunnerInstance& Deployment::add_runner(std::string const& service, std::string const& domain)
{
    auto& instance = this->runners.emplace_back();
    instance.id = service + '-' + std::to_string(++this->runner_count);
    instance.service = service;
    instance.domain = domain;
    auto const endpoint = Test::free_endpoint();
    instance.link = std::make_unique<FaultProxy>(this->loop, Test::free_endpoint(), endpoint);
    instance.runner = std::make_unique<StandIns::PlatformRunner>(this->loop, endpoint, instance.id);
    instance.runner->set_advertised_address(Test::text_of(instance.link->endpoint()));
    instance.runner->planned_events = PromiseChecker::planned_events;
    instance.runner->set_work_time(plain_work_time);
    instance.runner->on_received = [this, &instance](auto const& received) {
        this->checker.check_arrival(instance.id, instance.service, received);
        this->check_leaving(instance, received.attempt);
        this->check_limit(instance, received.attempt);
        this->check_notices(instance, received.attempt);
    };
    instance.runner->on_copy = [this](std::string const& target, std::string const& handle, u64 made) {
        return std::ranges::any_of(this->runners, [&](RunnerInstance& candidate) {
            return candidate.runner->address() == target && !candidate.is_terminated
                && candidate.runner->receive_copy(handle, made);
        });
    };
    this->put_row(instance);
    return instance;
}

HostInstance const* Deployment::find_host(std::string const& name) const
{
    auto found = std::ranges::find_if(this->hosts, [&](auto const& host) { return host->name == name; });
    return found == this->hosts.end() ? nullptr : found->get();
}

void Deployment::check_leaving(RunnerInstance const& instance, std::string const& attempt)
{
    if (!instance.leaving_since || now() - *instance.leaving_since < max_new_work_delay)
        return;
    auto const* host = this->find_host(this->checker.host_of(attempt));
    if (host && is_unaffected_with_margin(*host, *instance.leaving_since))
        this->checker.violation(
            host->name + " still sends work (" + attempt + ") to " + instance.id + ", which is leaving");
}

void Deployment::advertise_limit(RunnerInstance& instance, double per_second)
{
    instance.limit = AdvertisedLimit { per_second, now(), {} };
    instance.runner->set_limit(std::to_string(per_second));
}

void Deployment::withdraw_limit(RunnerInstance& instance)
{
    instance.limit.reset();
    instance.runner->set_limit({});
}

void Deployment::check_limit(RunnerInstance& instance, std::string const& attempt)
{
    if (!instance.limit || now() - instance.limit->since < limit_known_after)
        return;
    auto const* host = this->find_host(this->checker.host_of(attempt));
    if (!host || !is_unaffected_with_margin(*host, instance.limit->since))
        return;
    auto& arrivals = instance.limit->arrivals;
    arrivals.push_back(now());
    std::erase_if(arrivals, [](Instant moment) { return now() - moment >= limit_window; });
    auto const allowed = 1.5 * instance.limit->per_second * AK::to_seconds(limit_window) + 5;
    bool const is_in_force = now() - instance.limit->since >= limit_in_force_after;
    if (is_in_force && static_cast<double>(arrivals.size()) > allowed)
        this->checker.violation(instance.id + " advertised a limit of " + std::to_string(instance.limit->per_second)
            + " a second and got " + std::to_string(arrivals.size()) + " in 4 s");
}

void Deployment::reject_all(RunnerInstance& instance, Duration back_off)
{
    instance.runner->reject_requests(std::to_string(AK::to_seconds(back_off)));
    instance.runner->on_rejected = [this, &instance, back_off](auto const& received) {
        if (now() >= instance.affected_until)
            this->notices.record_back_off(instance.id, this->checker.host_of(received.attempt), back_off, now());
    };
}

void Deployment::accept_again(RunnerInstance& instance) { instance.runner->reject_requests({}); }

void Deployment::check_notices(RunnerInstance const& instance, std::string const& attempt)
{
    if (now() < instance.affected_until)
        return this->notices.server_affected(instance.id);
    auto const host = this->checker.host_of(attempt);
    if (auto const violation = this->notices.check_arrival(instance.id, host, this->checker.sent_at(attempt), now()))
        this->checker.violation(*violation + " (" + attempt + ')');
    if (instance.runner->is_announcing_leaving() && !instance.corrupts_responses)
        this->notices.record_leaving(instance.id, host, now());
}

void Deployment::put_row(RunnerInstance const& instance)
{
    this->store.put(servers_table, instance.id,
        instance.runner->row(instance.service, instance.domain, instance.leaving_since.has_value()));
}

void Deployment::put_entry(RunnerInstance const& instance, std::string const& value)
{
    this->store.put(servers_table, instance.id, value);
}

void Deployment::drain(RunnerInstance& instance, Duration time_left)
{
    instance.leaving_since = now();
    instance.runner->announce_leaving(true);
    instance.runner->set_leaves_in(static_cast<u64>(AK::to_milliseconds(time_left)));
    this->put_row(instance);
}

void Deployment::remove_row(RunnerInstance& instance)
{
    if (!instance.leaving_since)
        instance.leaving_since = now();
    instance.runner->announce_leaving(true);
    this->store.remove(servers_table, instance.id);
}

void Deployment::terminate_runner(RunnerInstance& instance)
{
    instance.is_terminated = true;
    instance.terminated_at = now();
    instance.runner->terminate();
    instance.link->reset_all();
    this->checker.record_running(instance.id, {}, false, now());
}

std::vector<RunnerInstance*> Deployment::serving(std::string const& service)
{
    std::vector<RunnerInstance*> result;
    for (auto& instance : this->runners) {
        if (instance.service == service && !instance.leaving_since && !instance.is_terminated)
            result.push_back(&instance);
    }
    return result;
}

void Deployment::put_configuration()
{
    this->version_times[this->configuration.add_version()] = now();
    this->store.put("op", "config", this->configuration.text());
}

std::map<std::string, u32> Deployment::runs() const
{
    std::map<std::string, u32> total;
    for (auto const& instance : this->runners) {
        for (auto const& [attempt, count] : instance.runner->runs())
            total[attempt] += count;
    }
    return total;
}

bool Deployment::was_moved(std::string const& attempt) const
{
    return std::ranges::any_of(this->runners, [&](auto const& instance) {
        auto const& orders = instance.runner->copy_orders();
        return std::ranges::find(orders, attempt) != orders.end();
    });
}

bool Deployment::engine_may_have_interrupted(std::string const& attempt, Instant instant) const
{
    auto const reached = this->checker.runners_of(attempt);
    bool const is_moved = this->was_moved(attempt);
    return std::ranges::any_of(this->runners, [&](auto const& instance) {
        // A moving stream may end at an engine that it has not reached yet, or by a corrupted response to its
        // resumption.
        bool const is_involved = reached.contains(instance.id) || (is_moved && instance.service == engine_service);
        bool const has_failed = instance.terminated_at >= instant || instance.affected_until >= instant;
        return is_involved && (has_failed || (is_moved && instance.corrupts_responses));
    });
}

void Deployment::tick()
{
    auto const at = now();
    for (auto& instance : this->runners) {
        if (instance.is_terminated)
            continue;
        instance.runner->make_events();
        this->checker.record_running(instance.id, instance.runner->running(), at < instance.affected_until, at);
    }
    for (auto& host : this->hosts)
        this->check_process(*host);
}

void Deployment::check_process(HostInstance& host)
{
    auto status = host.daemon->reap();
    if (!status) {
        bool const is_overdue = host.stopping_since && now() - *host.stopping_since > stop_grace + stop_lateness;
        if (is_overdue && is_unaffected_since(host, *host.stopping_since)) {
            this->checker.violation(host.name + " did not exit within its stop grace after SIGTERM");
            host.stopping_since.reset();
            this->kill_host(host);
        }
        return;
    }
    if (!host.is_exit_expected)
        this->checker.violation(host.name + " exited unexpectedly, with status " + std::to_string(*status));
    if (host.stopping_since && !(WIFEXITED(*status) && WEXITSTATUS(*status) == 0) && !WIFSIGNALED(*status))
        this->checker.violation(host.name + " exited from its planned stop with status " + std::to_string(*status));
}

}
